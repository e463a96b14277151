package reachloom.peerreport;

/**
 * What one instance has seen of one engine in the latest span: attempts served, attempts that
 * failed by an error, a reset or no connection, and attempts timedOut in silence. {@code
 * incarnation} is the start of the engine's process as told by the list, so that another one at its
 * address inherits nothing; {@code ageNanos} is how long ago the latest of it was seen, in
 * nanoseconds.
 */
public record PeerReport(
    String engine, long incarnation, int served, int failed, int timedOut, long ageNanos) {
  /** How many attempts it speaks of. */
  public int attempts() {
    return served + failed + timedOut;
  }

  /** The share of them that came to nothing. */
  public double failureRatio() {
    return attempts() == 0 ? 0 : (double) (failed + timedOut) / attempts();
  }
}
