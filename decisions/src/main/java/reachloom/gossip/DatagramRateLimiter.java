package reachloom.gossip;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import reachloom.scheduler.state.TokenBucket;

/**
 * Stands before the costly check of a signature: what can be refused cheaply is, and the rest has a
 * budget, so that a flood can't eat this process's part of a core. Sources that members are known
 * to send from have budgets of their own; all others share one, so that a flood from anywhere else
 * leaves the members alone. It harms when many join at once: they come in at the pace of the shared
 * budget.
 */
public final class DatagramRateLimiter {
  private static final long SECOND = 1_000_000_000; // nanoseconds
  private static final long CLOCKS_APART =
      30 * SECOND; // of two instances; also how long a replay is of use
  private static final double MEMBER_RATE =
      20; // checks a period for packets from one member's address

  /**
   * ... and more of a second where members also pass documents on: the largest comes in 26 pieces.
   */
  private static final double PIECES = 60;

  private static final double SOURCE_RATE = 5; // ... from one other address
  private static final double STRANGER_RATE = 50; // ... and from all other addresses together
  private static final double TOTAL_RATE = 250; // ... and at all
  private static final int MAX_SOURCES = 4_096;
  private static final int MAX_SENDERS = 4_096;

  private final Map<RejectionReason, Long> counts = new EnumMap<>(RejectionReason.class);
  private final Map<Long, TokenBucket> members = new LinkedHashMap<>();
  private final Map<Long, TokenBucket> others = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Replay> senders = new LinkedHashMap<>(16, 0.75f, true);
  private final TokenBucket strangers = new TokenBucket(STRANGER_RATE, STRANGER_RATE);
  private final TokenBucket total = new TokenBucket(TOTAL_RATE, TOTAL_RATE);
  private final double memberRate;
  private long taken;

  /**
   * A guard of an instance that probes once in so many nanoseconds: members say more where that is
   * short.
   */
  public DatagramRateLimiter(long period) {
    this(period, false);
  }

  /**
   * The same, where {@code revisions} is set, of one whose members pass the configuration on as
   * well.
   */
  public DatagramRateLimiter(long period, boolean revisions) {
    memberRate =
        Math.min(
            TOTAL_RATE,
            MEMBER_RATE * Math.max(1, (double) SECOND / period) + (revisions ? PIECES : 0));
  }

  /**
   * The cheap checks, in order of their cost: null, or why it is refused. All times are in
   * nanoseconds.
   */
  public RejectionReason admit(
      long now,
      long source,
      boolean ofMember,
      boolean known,
      boolean certified,
      String sender,
      long itsTime,
      long seq) {
    return admit(now, now, source, ofMember, known, certified, sender, itsTime, seq);
  }

  /**
   * The same where the wall clock may have been stepped since this process started: what is of the
   * present by either clock is fresh, since a tool that is started after a step goes by the wall
   * clock of then.
   */
  public RejectionReason admit(
      long now,
      long wallClock,
      long source,
      boolean ofMember,
      boolean known,
      boolean certified,
      String sender,
      long itsTime,
      long seq) {
    if (Math.abs(now - itsTime) > CLOCKS_APART && Math.abs(wallClock - itsTime) > CLOCKS_APART) {
      return reject(RejectionReason.TIME);
    }
    Replay replay = senders.get(sender);
    if (replay != null && !replay.fresh(seq)) {
      return reject(RejectionReason.REPLAYED);
    }
    if (!known && !certified) {
      return reject(RejectionReason.UNKNOWN);
    }
    boolean room =
        ofMember
            ? bucket(members, source, memberRate).take(now)
            : bucket(others, source, SOURCE_RATE).take(now) && strangers.take(now);
    return room && total.take(now) ? null : reject(RejectionReason.BUDGET);
  }

  private static TokenBucket bucket(Map<Long, TokenBucket> of, long source, double rate) {
    TokenBucket b = of.get(source);
    if (b == null) {
      if (of.size() >= MAX_SOURCES) {
        of.remove(of.keySet().iterator().next());
      }
      b = new TokenBucket(rate, rate);
      of.put(source, b);
    }
    return b;
  }

  /** The signature holds: its number is used up from now on; false where another one was faster. */
  public boolean acceptSequenceNumber(String sender, long seq) {
    Replay r = senders.get(sender);
    if (r == null) {
      if (senders.size() >= MAX_SENDERS) {
        senders.remove(senders.keySet().iterator().next());
      }
      r = new Replay();
      senders.put(sender, r);
    }
    if (!r.take(seq)) {
      reject(RejectionReason.REPLAYED);
      return false;
    }
    taken++;
    return true;
  }

  /** Counts a refusal; gives it back. */
  public RejectionReason reject(RejectionReason why) {
    counts.merge(why, 1L, Long::sum);
    return why;
  }

  /** How many were refused, by reason. */
  public Map<RejectionReason, Long> rejections() {
    return counts.isEmpty() ? Map.of() : new EnumMap<>(counts);
  }

  /** How many were taken. */
  public long acceptedCount() {
    return taken;
  }

  /** Numbers seen of one sender: the largest, and which of those just below it (as in RFC 6479). */
  static final class Replay {
    private long largest = Long.MIN_VALUE;
    private long seen;

    boolean fresh(long seq) {
      if (largest == Long.MIN_VALUE || seq > largest) {
        return true;
      }
      long behind = largest - seq;
      return behind >= 0 && behind < Long.SIZE && (seen >>> behind & 1) == 0;
    }

    boolean take(long seq) {
      if (!fresh(seq)) {
        return false;
      }
      if (largest == Long.MIN_VALUE || seq > largest) {
        long ahead = largest == Long.MIN_VALUE ? Long.SIZE : seq - largest;
        seen = ahead >= Long.SIZE || ahead < 0 ? 1 : seen << ahead | 1;
        largest = seq;
      } else {
        seen |= 1L << largest - seq;
      }
      return true;
    }
  }
}
