package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.concurrent.Semaphore;
import reachloom.gateway.state.DeadlineQueue;
import reachloom.time.MonotonicClock;

/**
 * The one thread that owns all state. It runs what other threads hand it, in the order in which
 * they did, and what is due. What came from the sockets goes before deadlines that are judged by
 * it.
 */
public final class EventLoop implements Runnable {
  private static final Logger LOG = System.getLogger(EventLoop.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /**
   * A wake-up that much too late is a standstill: the sockets are read before deadlines are judged.
   */
  private static final long STANDSTILL = 20 * MILLISECOND;

  private static final long SETTLE =
      3 * MILLISECOND; // without a message: the sockets have been read
  private static final long LONGEST_SETTLE = 15 * MILLISECOND;
  private static final long LONGEST_WAIT = 1_000 * MILLISECOND;

  /** Bytes of messages not yet looked at; past that, reading from sockets waits. */
  private static final int MAX_WAITING = 4 << 20;

  private record Task(Runnable action, int bytes, boolean first) {}

  private final MonotonicClock clock = new MonotonicClock();
  private final DeadlineQueue deadlines = new DeadlineQueue();
  private final HandoffQueue<Task> queue = new HandoffQueue<>();
  private final Semaphore room = new Semaphore(MAX_WAITING);
  private final ArrayDeque<Runnable> later = new ArrayDeque<>();
  private Runnable atTurnEnd = () -> {};
  private volatile boolean ended;

  /**
   * The present time in nanoseconds; real time passes on it, whatever becomes of the wall clock.
   */
  public long now() {
    return clock.now();
  }

  /**
   * By how much the wall clock was stepped since this was last asked, in nanoseconds; 0 for not.
   */
  public long wallClockStep() {
    return clock.wallClockStep();
  }

  /** All deadlines and timers; for the loop's own thread. */
  public DeadlineQueue deadlines() {
    return deadlines;
  }

  /** Runs something on the loop's thread; {@code bytes} is what it keeps in memory until then. */
  public void post(int bytes, Runnable action) {
    post(bytes, action, false);
  }

  /**
   * The same for what must be known before anything is decided that came while this process stood
   * still.
   */
  public void postFirst(int bytes, Runnable action) {
    post(bytes, action, true);
  }

  private void post(int bytes, Runnable action, boolean first) {
    int weight = Math.min(bytes, MAX_WAITING);
    room.acquireUninterruptibly(weight);
    queue.add(new Task(action, weight, first));
  }

  /** Runs something on the loop's thread once the present event has been dealt with. */
  public void later(Runnable action) {
    later.add(action);
  }

  /**
   * Does that at the end of each turn, once all that had come by its beginning has been dealt with:
   * what leaves the process leaves then, so that nothing is sent that a close, a cancel or a list
   * forbids.
   */
  public void atTurnEnd(Runnable action) {
    atTurnEnd = action;
  }

  /** Bytes of messages that wait to be dealt with. */
  int waiting() {
    return MAX_WAITING - room.availablePermits();
  }

  /** Ends the loop after the present event. */
  public void end() {
    ended = true;
  }

  @Override
  public void run() {
    while (!ended) {
      try {
        turn();
      } catch (InterruptedException e) {
        LOG.log(Level.WARNING, "the loop was interrupted");
        return;
      }
    }
  }

  private void turn() throws InterruptedException {
    long wanted = Math.min(deadlines.next(), now() + LONGEST_WAIT);
    Task task = queue.poll(Math.max(0, wanted - now()));
    if (now() - wanted > STANDSTILL) {
      readFirst(task);
      task = null;
    }
    // No more than what is here now, so that a flood of messages can't keep deadlines waiting.
    for (int left = queue.size(); task != null; task = left-- > 0 ? queue.poll() : null) {
      run(task);
    }
    long now = now();
    for (Runnable due = deadlines.poll(now); due != null; due = deadlines.poll(now)) {
      run(due);
    }
    run(atTurnEnd);
  }

  /**
   * After a standstill what waits on the sockets has come in time, and counts before deadlines are
   * judged. All that may have come while it stood, so that a query is not sent by a list that has
   * long been replaced: nothing is done before the sockets have been read, and what others depend
   * on is done first.
   */
  private void readFirst(Task woken) throws InterruptedException {
    long until = now() + LONGEST_SETTLE;
    ArrayDeque<Task> others = new ArrayDeque<>();
    for (Task task = woken != null ? woken : queue.poll(SETTLE); task != null; ) {
      if (task.first()) {
        run(task);
      } else {
        others.add(task);
      }
      task = now() < until ? queue.poll(SETTLE) : null;
    }
    for (Task task = others.poll(); task != null; task = others.poll()) {
      run(task);
    }
  }

  private void run(Task task) {
    room.release(task.bytes());
    run(task.action());
  }

  private void run(Runnable action) {
    for (Runnable next = action; next != null; next = later.poll()) {
      try {
        next.run();
      } catch (RuntimeException e) { // one event must not take the others down with it
        LOG.log(Level.ERROR, "an event could not be dealt with", e);
      }
    }
  }
}
