package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.concurrent.Semaphore;
import reachloom.gateway.state.DeadlineQueue;
import reachloom.time.MonotonicClock;

/**
 * The single thread that owns all state. It runs the tasks that other threads post, in the order in
 * which they were posted, then the deadlines that are due: what came from the sockets goes before
 * deadlines that are judged by it.
 *
 * <p>{@link #post}, {@link #postFirst}, {@link #now}, {@link #queuedBytes} and {@link #end} may be
 * called from any thread; everything else is for the thread that is in {@link #run}.
 */
public final class EventLoop implements Runnable {
  private static final Logger LOG = System.getLogger(EventLoop.class.getName());
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** A wake-up this late means that the process stalled: then the sockets are read first. */
  private static final long STALL_THRESHOLD = 20 * MILLISECOND;

  /** After a stall, the sockets count as read once no task has come for this long. */
  private static final long SETTLE_TIME = 3 * MILLISECOND;

  private static final long MAX_SETTLE_TIME = 15 * MILLISECOND;
  private static final long MAX_WAIT = 1_000 * MILLISECOND;

  /** Bytes of messages that wait to be handled; beyond that, reading from sockets waits. */
  private static final int MAX_QUEUED_BYTES = 4 << 20;

  private record Task(Runnable action, int bytes, boolean first) {}

  private final MonotonicClock clock = new MonotonicClock();
  private final DeadlineQueue deadlines = new DeadlineQueue();
  private final HandoffQueue<Task> queue = new HandoffQueue<>();
  private final Semaphore freeBytes = new Semaphore(MAX_QUEUED_BYTES);
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private Runnable turnEnd = () -> {};
  private volatile boolean ended;

  /**
   * The present time in nanoseconds; it advances with real time, whatever becomes of the wall
   * clock.
   */
  public long now() {
    return clock.now();
  }

  /** By how much the wall clock was stepped since the last call, in nanoseconds; 0 for not. */
  public long wallClockStep() {
    return clock.wallClockStep();
  }

  /** All deadlines and timers. */
  public DeadlineQueue deadlines() {
    return deadlines;
  }

  /**
   * Runs an action on the loop's thread. Waits while too many bytes are queued.
   *
   * @param bytes what the action keeps in memory until it has run
   */
  public void post(int bytes, Runnable action) {
    post(bytes, action, false);
  }

  /**
   * Runs an action as {@link #post} does; after a stall of the process it runs before all other
   * actions, for what must be known before they decide anything.
   */
  public void postFirst(int bytes, Runnable action) {
    post(bytes, action, true);
  }

  private void post(int bytes, Runnable action, boolean first) {
    int weight = Math.min(bytes, MAX_QUEUED_BYTES);
    freeBytes.acquireUninterruptibly(weight);
    queue.add(new Task(action, weight, first));
  }

  /** Runs an action once the present one has returned, before the next task. */
  public void later(Runnable action) {
    deferred.add(action);
  }

  /**
   * Sets the action at the end of each turn, once all that had come by its beginning is handled:
   * what leaves the process leaves there, so that nothing is sent that a close, a cancellation or a
   * list of engines forbids.
   */
  public void atTurnEnd(Runnable action) {
    turnEnd = action;
  }

  /** Bytes of messages that wait to be handled. */
  int queuedBytes() {
    return MAX_QUEUED_BYTES - freeBytes.availablePermits();
  }

  /** Ends the loop after the present turn. */
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
    long wakeUpAt = Math.min(deadlines.next(), now() + MAX_WAIT);
    Task task = queue.poll(Math.max(0, wakeUpAt - now()));
    if (now() - wakeUpAt > STALL_THRESHOLD) {
      runAllReadDuringStall(task);
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
    run(turnEnd);
  }

  /**
   * What waits on the sockets after a stall has arrived in time, and counts before deadlines are
   * judged. No task runs before the sockets have been read, and those that were posted first run
   * first: no query is sent by a list of engines that has long been replaced.
   */
  private void runAllReadDuringStall(Task firstTask) throws InterruptedException {
    long until = now() + MAX_SETTLE_TIME;
    ArrayDeque<Task> others = new ArrayDeque<>();
    Task task = firstTask != null ? firstTask : queue.poll(SETTLE_TIME);
    while (task != null) {
      if (task.first()) {
        run(task);
      } else {
        others.add(task);
      }
      task = now() < until ? queue.poll(SETTLE_TIME) : null;
    }
    for (Task other = others.poll(); other != null; other = others.poll()) {
      run(other);
    }
  }

  private void run(Task task) {
    freeBytes.release(task.bytes());
    run(task.action());
  }

  private void run(Runnable action) {
    for (Runnable next = action; next != null; next = deferred.poll()) {
      try {
        next.run();
      } catch (RuntimeException e) { // one event must not take the others down with it
        LOG.log(Level.ERROR, "an event could not be dealt with", e);
      }
    }
  }
}
