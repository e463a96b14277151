package reachloom.membership;

import reachloom.scheduler.state.SlidingWindowSum;

/**
 * Limits the bytes sent within any sliding window of one second. Each purpose may use the limit up
 * to its own share, so that the failure detector keeps bandwidth when joins, updates and peer
 * reports would use all of it. Not thread-safe.
 */
public final class BandwidthLimiter {
  /** The purpose that a datagram is sent for, which determines its share of the limit. */
  public enum Purpose {
    /** Pings, requests for indirect pings, and leave messages. */
    PROBE(1),
    /** Welcome messages to a joining node that knows no member yet. */
    WELCOME(0.95),
    /** Replies to pings and status requests, and relayed pings. */
    ANSWER(0.9),
    /** Dissemination of the configuration, which may use what the failure detector leaves. */
    REVISION(0.85),
    /** Synchronization of member tables, pings to seeds and failed members, and urgent payloads. */
    SYNC(0.75);

    /** The share of the limit up to which datagrams of this purpose are sent. */
    private final double share;

    Purpose(double share) {
      this.share = share;
    }
  }

  /**
   * The share reserved for piggybacked updates and peer reports, whatever the messages use. A node
   * that is pinged by many others knows most of the new updates, and without its own share would be
   * the last to disseminate them.
   */
  private static final double PIGGYBACK_SHARE = 0.25;

  /** The share of the limit above which nothing is piggybacked. */
  private static final double MAX_SHARE_WITH_PIGGYBACK = 0.8;

  /**
   * The share that one packet may carry, so that the following packets can carry updates as well.
   */
  private static final double PACKET_PIGGYBACK_SHARE = 0.1;

  private static final long SECOND_NANOS = 1_000_000_000;

  private final int maxBytesPerSecond;
  private final SlidingWindowSum sentBytes = new SlidingWindowSum(SECOND_NANOS);
  private final SlidingWindowSum piggybackBytes = new SlidingWindowSum(SECOND_NANOS);

  /** Creates a limiter that admits {@code maxBytesPerSecond} bytes in any second. */
  public BandwidthLimiter(int maxBytesPerSecond) {
    this.maxBytesPerSecond = maxBytesPerSecond;
  }

  /** Returns whether a datagram of that size may be sent now. */
  public boolean hasRoom(long nowNanos, Purpose purpose, int bytes) {
    return sentBytes.sum(nowNanos) + bytes <= maxBytesPerSecond * purpose.share;
  }

  /**
   * Returns the size, in bytes, up to which a datagram may be filled with piggybacked updates and
   * reports.
   *
   * @param bytes its size without them
   * @param maxBytes the maximum size of a packet
   */
  public int maxWithPiggyback(long nowNanos, int bytes, int maxBytes) {
    double remainingBytes =
        Math.min(
            maxBytesPerSecond * PIGGYBACK_SHARE - piggybackBytes.sum(nowNanos),
            maxBytesPerSecond * MAX_SHARE_WITH_PIGGYBACK - sentBytes.sum(nowNanos) - bytes);
    return Math.max(
        bytes, (int) Math.min(maxBytes, bytes + Math.min(remainingBytes, maxPiggybackBytes())));
  }

  /** Returns the maximum size, in bytes, of a datagram that is sent for the sake of its updates. */
  public int maxSyncBytes(long nowNanos, int bytes, int maxBytes) {
    int remainingBytes = (int) (maxBytesPerSecond * Purpose.SYNC.share - sentBytes.sum(nowNanos));
    return Math.max(bytes, Math.min(maxBytes, remainingBytes));
  }

  /** Returns the maximum number of bytes that may be piggybacked on one packet. */
  public int maxPiggybackBytes() {
    return (int) (maxBytesPerSecond * PACKET_PIGGYBACK_SHARE);
  }

  /**
   * Records a datagram that was sent.
   *
   * @param bytes its size
   * @param piggybackedBytes the part of its size that was piggybacked
   */
  public void record(long nowNanos, int bytes, int piggybackedBytes) {
    sentBytes.add(nowNanos, bytes);
    if (piggybackedBytes > 0) {
      piggybackBytes.add(nowNanos, piggybackedBytes);
    }
  }
}
