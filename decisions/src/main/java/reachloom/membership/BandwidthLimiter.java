package reachloom.membership;

import reachloom.scheduler.state.SlidingWindowSum;

/**
 * Keeps what is sent within a limit in each second, wherever the second begins. What matters less
 * may fill less of it, so that the failure detector has room when joins, updates and peer reports
 * would take all. Not thread-safe.
 */
public final class BandwidthLimiter {
  /** What a datagram is sent for. */
  public enum Purpose {
    /** To detect failures. */
    PROBE(1),
    /** To let a node join that knows nobody yet. */
    WELCOME(0.95),
    /** To answer the pings of others. */
    ANSWER(0.9),
    /** To pass on the configuration: it may fill what the failure detector leaves. */
    REVISION(0.85),
    /** To bring tables together, and to ping seeds. */
    SYNC(0.75);

    /** The share of the limit up to which it is sent. */
    private final double share;

    Purpose(double share) {
      this.share = share;
    }
  }

  /**
   * Updates and peer reports beside messages get that share of their own, whatever the messages
   * take: a node that is pinged by many knows most of what is new, and would else be the last to
   * tell.
   */
  private static final double PIGGYBACK_SHARE = 0.25;

  /** ... but never the last of the limit. */
  private static final double MAX_SHARE_WITH_PIGGYBACK = 0.8;

  /** One packet carries up to that share, so that the next ones have something to carry, too. */
  private static final double PACKET_PIGGYBACK_SHARE = 0.1;

  private static final long SECOND_NANOS = 1_000_000_000;

  private final int maxBytesPerSecond;
  private final SlidingWindowSum sentBytes = new SlidingWindowSum(SECOND_NANOS);
  private final SlidingWindowSum piggybackBytes = new SlidingWindowSum(SECOND_NANOS);

  /** A limiter that lets through that many bytes in each second. */
  public BandwidthLimiter(int maxBytesPerSecond) {
    this.maxBytesPerSecond = maxBytesPerSecond;
  }

  /** Whether a datagram of that size may go out now. */
  public boolean hasRoom(long nowNanos, Purpose purpose, int bytes) {
    return sentBytes.sum(nowNanos) + bytes <= maxBytesPerSecond * purpose.share;
  }

  /** How large a datagram of that many bytes may grow by what rides on it, in bytes. */
  public int maxWithPiggyback(long nowNanos, int bytes, int maxBytes) {
    double left =
        Math.min(
            maxBytesPerSecond * PIGGYBACK_SHARE - piggybackBytes.sum(nowNanos),
            maxBytesPerSecond * MAX_SHARE_WITH_PIGGYBACK - sentBytes.sum(nowNanos) - bytes);
    return Math.max(bytes, (int) Math.min(maxBytes, bytes + Math.min(left, maxPiggybackBytes())));
  }

  /** How large a datagram may grow whose very purpose is what it carries, in bytes. */
  public int maxSyncBytes(long nowNanos, int bytes, int maxBytes) {
    int left = (int) (maxBytesPerSecond * Purpose.SYNC.share - sentBytes.sum(nowNanos));
    return Math.max(bytes, Math.min(maxBytes, left));
  }

  /** What may ride on one packet, in bytes. */
  public int maxPiggybackBytes() {
    return (int) (maxBytesPerSecond * PACKET_PIGGYBACK_SHARE);
  }

  /** Records what went out, and how many bytes of it rode on a message. */
  public void record(long nowNanos, int bytes, int ridingBytes) {
    sentBytes.add(nowNanos, bytes);
    if (ridingBytes > 0) {
      piggybackBytes.add(nowNanos, ridingBytes);
    }
  }
}
