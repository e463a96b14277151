package reachloom.standin.model;

/**
 * A clock, and what is to happen at a time of it; simulated or real. Times are nanoseconds of Unix
 * time.
 */
public interface TaskScheduler {
  long now();

  /**
   * Does something at that time, or as soon as possible where that has passed; on the timeline's
   * thread.
   */
  void at(long time, Runnable action);
}
