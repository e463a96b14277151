package reachloom.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import reachloom.flowcontrol.FlowController;
import reachloom.gateway.state.DeadlineQueue;
import reachloom.gateway.wire.ConnectionInput;
import reachloom.pause.PauseDetector;
import reachloom.time.MonotonicClock;

/**
 * The single-threaded event loop that owns all state. It runs the tasks that other threads post, in
 * the order in which they were posted, then the deadlines that are due: messages read from the
 * sockets are handled before the deadlines that depend on them.
 *
 * <p>{@link #post}, {@link #postFirst}, {@link #now}, {@link #pauses}, {@link #queuedBytes} and
 * {@link #end} may be called from any thread; everything else is confined to the thread that
 * executes {@link #run}.
 */
public final class EventLoop implements Runnable {
  private static final Logger LOG = System.getLogger(EventLoop.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * A wake-up that is late by more than this means that the process stalled; the sockets are then
   * read first.
   */
  private static final long STALL_THRESHOLD_NANOS = 20 * NANOS_PER_MILLI;

  /** After a stall, the sockets count as read once no task has been posted for this long. */
  private static final long SOCKET_QUIET_NANOS = 3 * NANOS_PER_MILLI;

  /** The longest time after a stall for which tasks that the sockets post are awaited. */
  private static final long MAX_SOCKET_DRAIN_NANOS = 15 * NANOS_PER_MILLI;

  /** The longest wait after a stall until the sockets have been read at all. */
  private static final long MAX_SOCKET_WAIT_NANOS = 250 * NANOS_PER_MILLI;

  private static final long MAX_WAIT_NANOS = PauseDetector.REPORT_INTERVAL_NANOS;

  /** Bytes of unhandled messages at which reading from the sockets blocks. */
  private static final int MAX_QUEUED_BYTES = 4 << 20;

  /**
   * An action to be run.
   *
   * @param queuedBytes what it counts for while it is queued
   * @param first whether it runs before others after a stall
   * @param input the connection that caused it; null if none did
   * @param workBytes what its connection is charged with until it has run
   */
  private record Task(
      Runnable action, int queuedBytes, boolean first, ConnectionInput input, int workBytes) {
    void finish() {
      if (input != null) {
        input.release(workBytes);
      }
    }
  }

  private final MonotonicClock clock = new MonotonicClock();
  private final PauseDetector pauses = new PauseDetector();
  private final DeadlineQueue deadlines = new DeadlineQueue();
  private final HandoffQueue<Task> queue = new HandoffQueue<>();
  private final Semaphore freeBytes = new Semaphore(MAX_QUEUED_BYTES);
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private Runnable iterationEndAction = () -> {};
  private Supplier<BooleanSupplier> socketReader = () -> () -> true;
  private long longestIterationNanos;
  private volatile boolean ended;

  /**
   * Returns the current time in nanoseconds. It advances with real time, also when the wall clock
   * is stepped.
   */
  public long now() {
    return clock.now();
  }

  /**
   * Returns by how much the wall clock was stepped since the last call, in nanoseconds; 0 if it was
   * not stepped.
   */
  public long wallClockStep() {
    return clock.wallClockStep();
  }

  /** Returns the detector to which the loop reports that the process runs. */
  public PauseDetector pauses() {
    return pauses;
  }

  /** Returns the queue of all deadlines and timers. */
  public DeadlineQueue deadlines() {
    return deadlines;
  }

  /**
   * Runs an action on the loop's thread. Blocks while too many bytes are queued.
   *
   * @param bytes the memory that the action holds while it is queued
   */
  public void post(int bytes, Runnable action) {
    add(new Task(action, Math.min(bytes, MAX_QUEUED_BYTES), false, null, 0));
  }

  /**
   * Runs an action that a connection has caused, as {@link #post(int, Runnable)} does. The
   * connection is charged with it until the action has run.
   *
   * @param bytes the bytes of the message that caused the action
   */
  public void post(ConnectionInput input, int bytes, Runnable action) {
    addCharged(input, bytes, action, false);
  }

  /**
   * Runs an action as {@link #post(ConnectionInput, int, Runnable)} does, but before all other
   * posted actions after a stall of the process: for information on which their decisions depend.
   */
  public void postFirst(ConnectionInput input, int bytes, Runnable action) {
    addCharged(input, bytes, action, true);
  }

  private void addCharged(ConnectionInput input, int bytes, Runnable action, boolean first) {
    int workBytes = bytes + FlowController.MESSAGE_OVERHEAD_BYTES;
    input.charge(workBytes);
    add(new Task(action, Math.min(workBytes, MAX_QUEUED_BYTES), first, input, workBytes));
  }

  private void add(Task task) {
    freeBytes.acquireUninterruptibly(task.queuedBytes());
    queue.add(task);
  }

  /** Runs an action once the current one has returned, before the next task. */
  public void defer(Runnable action) {
    deferred.add(action);
  }

  /**
   * Sets the action that runs at the end of each iteration, once all tasks queued at its start are
   * handled. Attempts are sent there, so that none is sent that a close, a cancellation or an
   * endpoint list received by then forbids.
   */
  public void setIterationEndAction(Runnable action) {
    iterationEndAction = action;
  }

  /**
   * Sets what reads the sockets after a stall. It begins to read all that has arrived when it is
   * called, and the result tells whether that is read and posted.
   */
  public void setSocketReader(Supplier<BooleanSupplier> reader) {
    socketReader = reader;
  }

  /** Returns the bytes of messages that wait to be handled. */
  int queuedBytes() {
    return MAX_QUEUED_BYTES - freeBytes.availablePermits();
  }

  /** Returns the number of actions that wait to be run. */
  int queuedTasks() {
    return queue.size();
  }

  /** Returns how long the longest iteration since the last call took, in nanoseconds. */
  long takeLongestIteration() {
    long longest = longestIterationNanos;
    longestIterationNanos = 0;
    return longest;
  }

  /** Ends the loop after the current iteration. */
  public void end() {
    ended = true;
  }

  @Override
  public void run() {
    while (!ended) {
      try {
        runIteration();
      } catch (InterruptedException e) {
        LOG.log(Level.WARNING, "the event loop was interrupted and stops");
        return;
      }
    }
  }

  private void runIteration() throws InterruptedException {
    long wakeUpAt = Math.min(deadlines.next(), now() + MAX_WAIT_NANOS);
    pauses.report(now());
    Task task = queue.poll(Math.max(0, wakeUpAt - now()));
    long beganAtNanos = now();
    pauses.report(beganAtNanos);
    if (beganAtNanos - wakeUpAt > STALL_THRESHOLD_NANOS) {
      runTasksReadAfterStall(task);
      task = null;
    }
    // Only the tasks queued now, so that a flood of messages can't delay deadlines.
    for (int remaining = queue.size(); task != null; task = remaining-- > 0 ? queue.poll() : null) {
      run(task);
    }
    long now = now();
    for (Runnable due = deadlines.poll(now); due != null; due = deadlines.poll(now)) {
      run(due);
    }
    run(iterationEndAction);
    longestIterationNanos = Math.max(longestIterationNanos, now() - beganAtNanos);
  }

  /**
   * Runs the tasks read from the sockets after a stall, before any deadline: what was waiting on
   * the sockets had arrived in time. No ordinary task runs before the sockets have been read, and
   * tasks from {@link #postFirst} run ahead of the others, so that no query is sent by an endpoint
   * list that has long been replaced.
   */
  private void runTasksReadAfterStall(Task firstTask) throws InterruptedException {
    long quietBy = now() + MAX_SOCKET_DRAIN_NANOS;
    long readBy = now() + MAX_SOCKET_WAIT_NANOS;
    BooleanSupplier socketsRead = socketReader.get();
    ArrayDeque<Task> others = new ArrayDeque<>();
    Task task = firstTask;
    boolean waiting = true;
    while (waiting) {
      boolean read = socketsRead.getAsBoolean();
      if (task == null) {
        task = queue.poll(SOCKET_QUIET_NANOS);
      }
      waiting = now() < (read ? quietBy : readBy) && !(read && task == null);
      runIfFirst(task, others);
      task = null;
    }
    for (int queued = queue.size(); queued > 0; queued--) {
      runIfFirst(queue.poll(), others);
    }
    for (Task other = others.poll(); other != null; other = others.poll()) {
      run(other);
    }
  }

  private void runIfFirst(Task task, ArrayDeque<Task> others) {
    if (task != null && task.first()) {
      run(task);
    } else if (task != null) {
      others.add(task);
    }
  }

  private void run(Task task) {
    freeBytes.release(task.queuedBytes());
    run(task.action());
    task.finish();
  }

  private void run(Runnable action) {
    for (Runnable next = action; next != null; next = deferred.poll()) {
      try {
        next.run();
      } catch (RuntimeException e) { // a failed event must not prevent the next ones
        LOG.log(Level.ERROR, "handling an event failed; the event loop continues", e);
      }
    }
  }
}
