package reachloom.peerreport;

/**
 * What one instance has seen of one engine in the latest span: attempts served, attempts that
 * failed by an error, a reset or no connection, and attempts lost in silence. {@code since} is the
 * start of the engine's process as told by the list, so that another one at its address inherits
 * nothing; {@code age} is how long ago the latest of it was seen, in nanoseconds.
 */
public record PeerReport(String engine, long since, int served, int failed, int lost, long age) {
  /** How many attempts it speaks of. */
  public int sample() {
    return served + failed + lost;
  }

  /** The share of them that came to nothing. */
  public double bad() {
    return sample() == 0 ? 0 : (double) (failed + lost) / sample();
  }
}
