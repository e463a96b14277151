package reachloom.standin.model;

/**
 * A clock and a single-threaded task scheduler, in simulated or real time. Times are nanoseconds
 * since the Unix epoch.
 */
public interface TaskScheduler {
  long now();

  /**
   * Runs an action on the scheduler's thread at a time, or as soon as possible if that time has
   * passed.
   */
  void at(long time, Runnable action);
}
