package reachloom.membership;

import reachloom.scheduler.state.SlidingWindowSum;

/**
 * Keeps what is sent within a cap in each second, however the second is laid. What matters less may
 * fill less of it, so that the failure detector finds room when joins, news and evidence would take
 * all.
 */
public final class BandwidthLimiter {
  /** What a datagram is sent for. */
  public enum Purpose {
    /** To find out who is alive. */
    PROBE(1),
    /** To let one in that knows nobody yet. */
    WELCOME(0.95),
    /** To answer those who want to find out. */
    ANSWER(0.9),
    /** To pass on the configuration: it may fill what the failure detector leaves. */
    REVISION(0.85),
    /** To bring tables together, and to say hello. */
    SYNC(0.75);

    /** The share of the cap up to which it is sent. */
    private final double share;

    Purpose(double share) {
      this.share = share;
    }
  }

  /**
   * News and evidence beside messages get that share of their own, whatever the messages take: an
   * instance that is asked by many knows most of what is new, and would else be the last to tell.
   */
  private static final double RIDE_SHARE = 0.25;

  /** ... but never the last of the cap. */
  private static final double RIDE_UP_TO = 0.8;

  /** One packet carries up to that share, so that the next ones have something to carry, too. */
  private static final double PACKET_SHARE = 0.1;

  private static final long SECOND = 1_000_000_000; // nanoseconds

  private final int cap;
  private final SlidingWindowSum sent = new SlidingWindowSum(SECOND);
  private final SlidingWindowSum ridden = new SlidingWindowSum(SECOND);

  /** A meter for that many bytes a second. */
  public BandwidthLimiter(int cap) {
    this.cap = cap;
  }

  /** Whether a datagram of that size may go out now. */
  public boolean hasRoom(long now, Purpose use, int bytes) {
    return sent.sum(now) + bytes <= cap * use.share;
  }

  /** How large a datagram of that many bytes may grow by what rides on it. */
  public int maxWithPiggyback(long now, int bytes, int mostBytes) {
    double left =
        Math.min(cap * RIDE_SHARE - ridden.sum(now), cap * RIDE_UP_TO - sent.sum(now) - bytes);
    return Math.max(bytes, (int) Math.min(mostBytes, bytes + Math.min(left, maxPiggybackBytes())));
  }

  /** How large a packet may grow whose very purpose is what it carries. */
  public int maxSyncBytes(long now, int bytes, int mostBytes) {
    return Math.max(bytes, Math.min(mostBytes, (int) (cap * Purpose.SYNC.share - sent.sum(now))));
  }

  /** What may ride on one packet, in bytes. */
  public int maxPiggybackBytes() {
    return (int) (cap * PACKET_SHARE);
  }

  /** Notes what went out, and how much of it rode on a message. */
  public void record(long now, int bytes, int riding) {
    sent.add(now, bytes);
    if (riding > 0) {
      ridden.add(now, riding);
    }
  }
}
