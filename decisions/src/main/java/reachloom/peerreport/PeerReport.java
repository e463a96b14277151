package reachloom.peerreport;

/**
 * One node's recent attempts at one engine: counts, never a verdict.
 *
 * @param engine the engine's name
 * @param incarnation the start time of the engine's process in the endpoint list, so that another
 *     process at the same address does not inherit the report
 * @param served attempts that were served
 * @param failed attempts that failed with an error, a reset or a failed connection
 * @param timedOut attempts that got no response
 * @param ageNanos the time since the latest of these attempts ended, in nanoseconds
 */
public record PeerReport(
    String engine, long incarnation, int served, int failed, int timedOut, long ageNanos) {
  /** Returns the number of attempts that the report counts. */
  public int attempts() {
    return served + failed + timedOut;
  }

  /** Returns the number of attempts that were not served. */
  public int unserved() {
    return failed + timedOut;
  }

  /** Returns the share of attempts that were not served, from 0 to 1; 0 without attempts. */
  public double failureRatio() {
    return attempts() == 0 ? 0 : (double) unserved() / attempts();
  }
}
