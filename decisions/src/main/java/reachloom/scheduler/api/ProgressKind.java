package reachloom.scheduler.api;

/** What a {@link ProgressReport} reports. */
public enum ProgressKind {
  /** A share of the work is done. */
  PROGRESS,
  /** The query spills to disk, since its memory grant is too small. */
  SPILL,
  /** The query waits for memory; no further report comes before it runs. */
  MEMORY_WAIT,
  /** The query waits while another one loads its table group. */
  LOAD_WAIT,
  /** A kind that this version does not know. */
  OTHER
}
