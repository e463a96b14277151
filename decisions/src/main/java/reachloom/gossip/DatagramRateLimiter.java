package reachloom.gossip;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import reachloom.scheduler.state.TokenBucket;

/**
 * Stands before the costly check of a signature: what can be rejected cheaply is, and the rest has
 * a rate limit, so that a flood can't take this process's part of a core. Sources that members are
 * known to send from have limits of their own; all others share one, so that a flood from anywhere
 * else leaves the members alone. The cost: where many nodes join at once, they come in at the pace
 * of the shared limit.
 *
 * <p>Not thread-safe. Times are nanoseconds of Unix time.
 */
public final class DatagramRateLimiter {
  private static final long SECOND_NANOS = 1_000_000_000;

  /** How far clocks of two nodes may differ; also how long a replayed datagram is of use. */
  private static final long MAX_CLOCK_DIFFERENCE_NANOS = 30 * SECOND_NANOS;

  private static final double CHECKS_PER_MEMBER_AND_PERIOD = 20; // from one member's address

  /** More in a second where members pass documents on as well: the largest has 26 chunks. */
  private static final double CHUNK_CHECKS_PER_SECOND = 60;

  private static final double CHECKS_PER_OTHER_SOURCE = 5; // a second, from one other address
  private static final double CHECKS_OF_OTHERS = 50; // a second, from all other addresses together
  private static final double TOTAL_CHECKS = 250; // a second
  private static final int MAX_SOURCES = 4_096;
  private static final int MAX_SENDERS = 4_096;
  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_CAPACITY = 16;

  /**
   * What is known of a datagram before its signature is checked.
   *
   * @param source the address that it came from: IPv4 address and port in the lowest 48 bits
   * @param fromMember whether a member is known to send from there
   * @param senderKnown whether its sender's certificate is held here
   * @param certificateAttached whether it brings its sender's certificate
   * @param sender the name that it gives
   * @param sentAtNanos its time, by its sender's clock
   * @param sequenceNumber its number among the sender's datagrams
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
  private final TokenBucket othersLimit = new TokenBucket(CHECKS_OF_OTHERS, CHECKS_OF_OTHERS);
  private final TokenBucket totalLimit = new TokenBucket(TOTAL_CHECKS, TOTAL_CHECKS);
  private final double checksPerMember;
  private long acceptedCount;

  /** A limiter for a cluster with that protocol period, without configuration revisions. */
  public DatagramRateLimiter(long periodNanos) {
    this(periodNanos, false);
  }

  /**
   * A limiter for a cluster.
   *
   * @param periodNanos the protocol period: members send more a second where it is short
   * @param revisions whether members pass the configuration on as well
   */
  public DatagramRateLimiter(long periodNanos, boolean revisions) {
    double perSecond =
        CHECKS_PER_MEMBER_AND_PERIOD * Math.max(1, (double) SECOND_NANOS / periodNanos);
    checksPerMember = Math.min(TOTAL_CHECKS, perSecond + (revisions ? CHUNK_CHECKS_PER_SECOND : 0));
  }

  /**
   * The cheap checks, in the order of their cost. The wall clock may have been stepped since this
   * process started: what is of the present by either clock is fresh, since a tool that is started
   * after a step goes by the wall clock of then.
   *
   * @param nowNanos the process's own time
   * @param wallClockNanos the wall clock's time
   * @return why the datagram is rejected, which is counted; empty where its signature is to be
   *     checked
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
    if (!takeFromSource(nowNanos, arrival) || !totalLimit.take(nowNanos)) {
      return Optional.of(reject(RejectionReason.BUDGET));
    }
    return Optional.empty();
  }

  private static boolean isStale(long nowNanos, Arrival arrival) {
    return Math.abs(nowNanos - arrival.sentAtNanos()) > MAX_CLOCK_DIFFERENCE_NANOS;
  }

  private boolean takeFromSource(long nowNanos, Arrival arrival) {
    return arrival.fromMember()
        ? limit(memberLimits, arrival.source(), checksPerMember).take(nowNanos)
        : limit(otherLimits, arrival.source(), CHECKS_PER_OTHER_SOURCE).take(nowNanos)
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
   * A signature holds: the number of its datagram is used up from now on. False, and counted, where
   * another datagram with that number was faster.
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

  /** Counts a rejection; gives its reason back. */
  public RejectionReason reject(RejectionReason reason) {
    rejections.merge(reason, 1L, Long::sum);
    return reason;
  }

  /** How many datagrams were rejected, by reason; a copy. */
  public Map<RejectionReason, Long> rejections() {
    return rejections.isEmpty() ? Map.of() : new EnumMap<>(rejections);
  }

  /** How many datagrams were accepted. */
  public long acceptedCount() {
    return acceptedCount;
  }
}
