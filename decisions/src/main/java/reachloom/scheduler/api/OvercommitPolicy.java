package reachloom.scheduler.api;

/** What engines do with memory grants beyond their memory. */
public enum OvercommitPolicy {
  /** The query waits until memory is free. */
  WAIT,
  /** The query runs with a smaller grant. */
  SHRINK,
  /** All queries run with their full grants, and the engine pages. */
  PAGE
}
