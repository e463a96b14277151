package reachloom.scheduler.api;

/** What engines do with grants beyond their memory. */
public enum OvercommitPolicy {
  WAIT,
  SHRINK,
  PAGE
}
