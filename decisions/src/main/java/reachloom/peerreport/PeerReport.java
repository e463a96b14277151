package reachloom.peerreport;

/**
 * What one node has seen of one engine in the latest span: counts, never a verdict.
 *
 * @param engine the engine's name
 * @param incarnation the start of the engine's process as the endpoint list tells it, so that
 *     another process at the same address inherits nothing
 * @param served attempts that were served
 * @param failed attempts that failed by an error, a reset or no connection
 * @param timedOut attempts that got no answer
 * @param ageNanos how long ago the latest of them ended, in nanoseconds
 */
public record PeerReport(
    String engine, long incarnation, int served, int failed, int timedOut, long ageNanos) {
  /** How many attempts the report counts. */
  public int attempts() {
    return served + failed + timedOut;
  }

  /** How many of them were not served. */
  public int unserved() {
    return failed + timedOut;
  }

  /** The share of attempts that were not served, from 0 to 1; 0 without attempts. */
  public double failureRatio() {
    return attempts() == 0 ? 0 : (double) unserved() / attempts();
  }
}
