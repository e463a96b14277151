package reachloom.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Runs actions once what had arrived on all connections before them is read and handled. Actions
 * that are added while the sockets are read share the next round; callers bound their number.
 *
 * <p>Confined to the event loop's thread.
 */
final class ArrivalBarrier {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Interval at which it is checked whether what has arrived is read. */
  private static final long READ_POLL_INTERVAL_NANOS = NANOS_PER_MILLI;

  private final EventLoop loop;
  private final Supplier<BooleanSupplier> socketReader;
  private List<Runnable> nextRound = new ArrayList<>();
  private boolean reading;

  /**
   * Creates a barrier.
   *
   * @param socketReader begins to read what has arrived; the result tells whether that is read and
   *     posted to the loop
   */
  ArrivalBarrier(EventLoop loop, Supplier<BooleanSupplier> socketReader) {
    this.loop = loop;
    this.socketReader = socketReader;
  }

  /** Runs an action once everything that has arrived by now is read and handled. */
  void whenHandled(Runnable action) {
    nextRound.add(action);
    if (!reading) {
      beginRound();
    }
  }

  private void beginRound() {
    reading = true;
    List<Runnable> actions = nextRound;
    nextRound = new ArrayList<>();
    awaitRead(socketReader.get(), actions);
  }

  private void awaitRead(BooleanSupplier read, List<Runnable> actions) {
    if (!read.getAsBoolean()) {
      loop.deadlines().add(loop.now() + READ_POLL_INTERVAL_NANOS, () -> awaitRead(read, actions));
      return;
    }
    // Behind the tasks that the sockets have posted.
    actions.forEach(action -> loop.post(0, action));
    loop.post(0, this::endRound);
  }

  private void endRound() {
    reading = false;
    if (!nextRound.isEmpty()) {
      beginRound();
    }
  }
}
