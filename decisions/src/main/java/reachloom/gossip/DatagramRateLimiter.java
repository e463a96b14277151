package reachloom.gossip;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import reachloom.scheduler.state.TokenBucket;

/**
 * Limits the rate of signature checks, which are expensive: rejects datagrams that fail a cheap
 * check, and applies a rate limit to the rest, so that a flood of datagrams cannot use up this
 * process's share of a core. Source addresses of known members have limits of their own; all other
 * sources share one limit, so that a flood from them does not affect the members. The cost: when
 * many nodes join at once, they are admitted at the rate of the shared limit.
 *
 * <p>Not thread-safe. Times are nanoseconds of Unix time.
 */
public final class DatagramRateLimiter {
  private static final long SECOND_NANOS = 1_000_000_000;

  /**
   * The maximum difference between the clocks of two nodes; also how long a datagram can be
   * replayed.
   */
  private static final long MAX_CLOCK_DIFFERENCE_NANOS = 30 * SECOND_NANOS;

  private static final double CHECKS_PER_MEMBER_AND_PERIOD = 20; // from one member's address

  /** Added per member if members pass documents on as well: the largest document has 26 chunks. */
  private static final double CHUNK_CHECKS_PER_SECOND = 60;

  private static final double CHECKS_PER_SECOND_AND_OTHER_SOURCE = 5;
  private static final double CHECKS_PER_SECOND_OF_OTHERS = 50; // all other sources together
  private static final double TOTAL_CHECKS_PER_SECOND = 250;
  private static final int MAX_SOURCES = 4_096;
  private static final int MAX_SENDERS = 4_096;
  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_CAPACITY = 16;

  /**
   * The properties of a datagram that are known before its signature is checked.
   *
   * @param source the source address: IPv4 address and port in the lowest 48 bits
   * @param fromMember whether the source is the address of a known member
   * @param senderKnown whether this node holds the sender's certificate
   * @param certificateAttached whether the datagram contains the sender's certificate
   * @param sender the sender's name, as stated in the datagram
   * @param sentAtNanos the time of sending, by the sender's clock
   * @param sequenceNumber the sequence number among the sender's datagrams
   */
  public record Arrival(
      long source,
      boolean fromMember,
      boolean senderKnown,
      boolean certificateAttached,
      String sender,
      long sentAtNanos,
      long sequenceNumber) {}

  private final Map<RejectionReason, Long> rejections = new EnumMap<>(RejectionReason.class);
  private final Map<Long, TokenBucket> memberLimits = new LinkedHashMap<>();
  private final Map<Long, TokenBucket> otherLimits =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private final Map<String, SequenceWindow> senders =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private final TokenBucket othersLimit =
      new TokenBucket(CHECKS_PER_SECOND_OF_OTHERS, CHECKS_PER_SECOND_OF_OTHERS);
  private final TokenBucket totalLimit =
      new TokenBucket(TOTAL_CHECKS_PER_SECOND, TOTAL_CHECKS_PER_SECOND);
  private final double checksPerMember;
  private long acceptedCount;

  /** Creates a limiter for a cluster with that protocol period, without configuration revisions. */
  public DatagramRateLimiter(long periodNanos) {
    this(periodNanos, false);
  }

  /**
   * Creates a limiter for a cluster.
   *
   * @param periodNanos the protocol period; the shorter it is, the more members send per second
   * @param revisions whether members pass the configuration on as well
   */
  public DatagramRateLimiter(long periodNanos, boolean revisions) {
    double perSecond =
        CHECKS_PER_MEMBER_AND_PERIOD * Math.max(1, (double) SECOND_NANOS / periodNanos);
    checksPerMember =
        Math.min(TOTAL_CHECKS_PER_SECOND, perSecond + (revisions ? CHUNK_CHECKS_PER_SECOND : 0));
  }

  /**
   * Applies the cheap checks, in the order of their cost. The wall clock may have been stepped
   * since this process started, so a datagram is fresh if its time agrees with either clock: a tool
   * started after the step uses the new wall clock.
   *
   * @param nowNanos the process's own time
   * @param wallClockNanos the wall clock's time
   * @return why the datagram is rejected, which is counted; empty if its signature must be checked
   */
  public Optional<RejectionReason> admit(long nowNanos, long wallClockNanos, Arrival arrival) {
    if (isStale(nowNanos, arrival) && isStale(wallClockNanos, arrival)) {
      return Optional.of(reject(RejectionReason.TIME));
    }
    SequenceWindow window = senders.get(arrival.sender());
    if (window != null && !window.isFresh(arrival.sequenceNumber())) {
      return Optional.of(reject(RejectionReason.REPLAYED));
    }
    if (!arrival.senderKnown() && !arrival.certificateAttached()) {
      return Optional.of(reject(RejectionReason.UNKNOWN));
    }
    if (!acquireForSource(nowNanos, arrival) || !totalLimit.take(nowNanos)) {
      return Optional.of(reject(RejectionReason.BUDGET));
    }
    return Optional.empty();
  }

  private static boolean isStale(long nowNanos, Arrival arrival) {
    return Math.abs(nowNanos - arrival.sentAtNanos()) > MAX_CLOCK_DIFFERENCE_NANOS;
  }

  private boolean acquireForSource(long nowNanos, Arrival arrival) {
    return arrival.fromMember()
        ? limit(memberLimits, arrival.source(), checksPerMember).take(nowNanos)
        : limit(otherLimits, arrival.source(), CHECKS_PER_SECOND_AND_OTHER_SOURCE).take(nowNanos)
            && othersLimit.take(nowNanos);
  }

  private static TokenBucket limit(Map<Long, TokenBucket> limits, long source, double rate) {
    TokenBucket limit = limits.get(source);
    if (limit == null) {
      if (limits.size() >= MAX_SOURCES) {
        limits.remove(limits.keySet().iterator().next());
      }
      limit = new TokenBucket(rate, rate);
      limits.put(source, limit);
    }
    return limit;
  }

  /**
   * Marks the sequence number of a datagram as used after its signature was verified. Returns
   * false, and counts a rejection, if another datagram with that number was accepted first.
   */
  public boolean acceptSequenceNumber(String sender, long sequenceNumber) {
    SequenceWindow window = senders.get(sender);
    if (window == null) {
      if (senders.size() >= MAX_SENDERS) {
        senders.remove(senders.keySet().iterator().next());
      }
      window = new SequenceWindow();
      senders.put(sender, window);
    }
    if (!window.accept(sequenceNumber)) {
      reject(RejectionReason.REPLAYED);
      return false;
    }
    acceptedCount++;
    return true;
  }

  /** Counts a rejection and returns its reason. */
  public RejectionReason reject(RejectionReason reason) {
    rejections.merge(reason, 1L, Long::sum);
    return reason;
  }

  /** Returns a copy of the number of rejected datagrams by reason. */
  public Map<RejectionReason, Long> rejections() {
    return rejections.isEmpty() ? Map.of() : new EnumMap<>(rejections);
  }

  /** Returns the number of accepted datagrams. */
  public long acceptedCount() {
    return acceptedCount;
  }
}
