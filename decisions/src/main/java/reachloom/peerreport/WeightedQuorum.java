package reachloom.peerreport;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Weighs what others say of engines by how many they are, how fresh and how broad what they saw is,
 * and how well each has stood so far. What comes of it is a level from 0 to 1 for each engine, to
 * be taken as hearsay: at {@link #ACCUSED_LEVEL} and above several peers accuse it. One peer alone
 * never brings an engine that far; own fresh evidence of an engine brings its level to 0, whatever
 * others say; and no more than a part of the engines can be accused at a time.
 *
 * <p>A peer's standing falls with each claim that own observation contradicts, and recovers slowly.
 * Peers that were contradicted over the same engine lately count as one: liars that agree gain
 * nothing by being many once they have been found out together. It harms peers whose path to an
 * engine is bad while ours is good: what they tell is true for them, and counts for little here,
 * which is as it should be.
 */
public final class WeightedQuorum {
  /** From this level on several peers accuse an engine. */
  public static final double ACCUSED_LEVEL = 0.5;

  private static final long SECOND = 1_000_000_000; // nanoseconds
  // of a claim; what is sick is avoided, so that new ones are rare
  private static final long LIFE = 20 * SECOND;
  private static final double FADES = 2; // times as fast as from the start: over the second half
  private static final int FRESH = 3; // seconds of own evidence that go before hearsay
  private static final int OWN_LEAST = 2; // own attempts in them that settle it
  private static final double BAD = 0.5; // share that came to nothing: a claim accuses from here on
  private static final double GOOD = 0.2; // ... and vouches up to here
  private static final int BAD_LEAST = 2; // attempts that must have failed: one may be chance
  private static final int LONE_LEAST = 1; // ... with no success beside it one counts, for less
  private static final double SAMPLE_HALF = 1; // attempts at which a claim weighs half
  private static final double START = 0.5; // standing of a peer not known yet
  private static final double FALL = 0.6; // what is left of it after a contradiction
  private static final double GAIN = 0.1; // of what it lacks, for a claim borne out
  private static final double RECOVERY = 0.005; // of a standing under the start's, each second
  private static final long JUDGE_GAP = SECOND; // between judgements of one peer on one engine
  private static final long BOUND_FOR =
      60 * SECOND; // peers contradicted together count as one for so long
  private static final double ONE_PEER =
      0.4; // the most that one peer alone, or one group, can bring about
  private static final double PRIOR = 0.15; // weight against each accusation
  private static final double MOST_ACCUSED = 0.25; // share of the engines
  private static final int MOST_PEERS = 2_048;
  private static final int MOST_CLAIMS = 256; // of one peer

  private record Held(PeerReport claim, long at) {}

  private static final class Peer {
    private final Map<String, Held> claims = new LinkedHashMap<>();
    private final Map<String, Long> judgedAt = new LinkedHashMap<>();

    /** Engines about which it was contradicted, and when. */
    private final Map<String, Long> wrongAbout = new LinkedHashMap<>();

    private double standing = START;
    private int contradicted;
    private int borneOut;
  }

  /** What is believed of one engine by hearsay, and why. */
  public record Assessment(
      String engine,
      long incarnation,
      double level,
      List<String> accusers,
      List<String> vouchers) {}

  private final OutcomeWindow own;
  private final TreeMap<String, Peer> peers = new TreeMap<>();
  private long reviewedAt;

  /** Hearsay beside that ledger of own evidence. */
  public WeightedQuorum(OutcomeWindow own) {
    this.own = own;
  }

  /** A peer tells what it saw. */
  public void onReports(long now, String peer, List<PeerReport> claims) {
    Peer p = peers.get(peer);
    if (p == null) {
      if (peers.size() >= MOST_PEERS) {
        return;
      }
      p = new Peer();
      peers.put(peer, p);
    }
    for (PeerReport c : claims) {
      boolean usable =
          c.served() >= 0
              && c.failed() >= 0
              && c.timedOut() >= 0
              && c.ageNanos() >= 0
              && c.ageNanos() < LIFE;
      if (!usable) {
        continue;
      }
      if (!p.claims.containsKey(c.engine()) && p.claims.size() >= MOST_CLAIMS) {
        p.claims.remove(p.claims.keySet().iterator().next());
      }
      p.claims.put(c.engine(), new Held(c, now - c.ageNanos()));
    }
  }

  /**
   * A member that is gone takes its claims with it; its standing stays, so that leaving clears no
   * name.
   */
  public void onPeerGone(String peer) {
    Peer p = peers.get(peer);
    if (p != null) {
      p.claims.clear();
    }
  }

  /** How well a peer has stood so far, from 0 to 1. */
  public double reputation(String peer) {
    Peer p = peers.get(peer);
    return p == null ? START : p.standing;
  }

  /** How many claims of a peer own observation has contradicted. */
  public int contradictions(String peer) {
    Peer p = peers.get(peer);
    return p == null ? 0 : p.contradicted;
  }

  /**
   * Judges the peers by own evidence, and weighs what is left: beliefs about the given engines,
   * those with a level above 0 only. {@code engines} holds name and start of each one in use.
   */
  public List<WeightedQuorum.Assessment> assess(long now, Map<String, Long> engines) {
    recover(now);
    for (Peer p : peers.values()) {
      p.claims.values().removeIf(h -> now - h.at > LIFE);
      p.wrongAbout.values().removeIf(at -> now - at > BOUND_FOR);
      p.judgedAt.values().removeIf(at -> now - at >= JUDGE_GAP);
    }
    List<WeightedQuorum.Assessment> beliefs = new ArrayList<>();
    engines.forEach(
        (engine, since) -> {
          PeerReport seen = own.summary(now, engine, since, FRESH);
          judge(now, engine, since, seen);
          if (seen.attempts() < OWN_LEAST) {
            WeightedQuorum.Assessment b = weigh(now, engine, since);
            if (b.level > 0) {
              beliefs.add(b);
            }
          }
        });
    return bounded(beliefs, engines.size());
  }

  private void recover(long now) {
    double passed = reviewedAt == 0 ? 0 : (now - reviewedAt) / (double) SECOND;
    reviewedAt = now;
    for (Peer p : peers.values()) {
      if (p.standing < START) {
        p.standing += (START - p.standing) * Math.min(1, RECOVERY * passed);
      }
    }
  }

  /** What own evidence shows of a peer's word; only where it is plain, and about the same time. */
  private void judge(long now, String engine, long since, PeerReport seen) {
    boolean good =
        seen.attempts() >= OWN_LEAST
            && seen.failureRatio() <= GOOD
            && seen.failed() + seen.timedOut() == 0;
    boolean bad = seen.attempts() >= OWN_LEAST && seen.failureRatio() >= BAD;
    if (!good && !bad) {
      return;
    }
    for (Peer p : peers.values()) {
      Held h = p.claims.get(engine);
      boolean comparable =
          h != null
              && h.claim.incarnation() == since
              && now - h.at <= FRESH * SECOND
              && !p.judgedAt.containsKey(engine);
      if (!comparable || !accuses(h.claim) && !vouches(h.claim)) {
        continue;
      }
      // What was seen before this one's first failure may have been true then.
      if (bad && vouches(h.claim) && h.at <= own.lastFailureAtNanos(engine, since)) {
        continue;
      }
      p.judgedAt.put(engine, now);
      if (accuses(h.claim) == bad) {
        p.standing += GAIN * (1 - p.standing);
        p.borneOut++;
      } else {
        p.standing *= FALL;
        p.contradicted++;
        p.wrongAbout.put(engine, now);
      }
    }
  }

  private static boolean accuses(PeerReport c) {
    int none = c.failed() + c.timedOut();
    return none >= BAD_LEAST && c.failureRatio() >= BAD || none >= LONE_LEAST && c.served() == 0;
  }

  private static boolean vouches(PeerReport c) {
    return c.served() >= BAD_LEAST && c.failureRatio() <= GOOD;
  }

  private WeightedQuorum.Assessment weigh(long now, String engine, long since) {
    List<String> accusers = new ArrayList<>();
    List<String> vouchers = new ArrayList<>();
    List<List<Peer>> groups = new ArrayList<>();
    List<Double> weights = new ArrayList<>();
    double against = PRIOR;
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      Peer p = entry.getValue();
      Held h = p.claims.get(engine);
      if (h == null || h.claim.incarnation() != since) {
        continue;
      }
      double weight = weight(now, p, h);
      if (accuses(h.claim)) {
        accusers.add(entry.getKey());
        int group = groupOf(groups, p);
        if (group < 0) {
          groups.add(new ArrayList<>(List.of(p)));
          weights.add(weight);
        } else { // as one peer, its strongest word
          groups.get(group).add(p);
          weights.set(group, Math.max(weights.get(group), weight));
        }
      } else if (vouches(h.claim)) {
        vouchers.add(entry.getKey());
        against += weight;
      }
    }
    double total = weights.stream().mapToDouble(w -> w).sum();
    double level = total <= 0 ? 0 : total / (total + against);
    level = weights.size() <= 1 ? Math.min(level, ONE_PEER) : level;
    return new WeightedQuorum.Assessment(engine, since, level, accusers, vouchers);
  }

  private static double weight(long now, Peer p, Held h) {
    double fresh =
        Math.min(1, FADES * (1 - (double) (now - h.at) / LIFE)); // full at first, then fading
    double sample = h.claim.attempts() / (h.claim.attempts() + SAMPLE_HALF);
    return p.standing * p.standing * fresh * sample;
  }

  /**
   * The group of accusers with which a peer was contradicted over the same engine lately, or -1.
   */
  private static int groupOf(List<List<Peer>> groups, Peer p) {
    for (int i = 0; i < groups.size(); i++) {
      for (Peer other : groups.get(i)) {
        Set<String> both = new TreeSet<>(p.wrongAbout.keySet());
        both.retainAll(other.wrongAbout.keySet());
        if (!both.isEmpty()) {
          return i;
        }
      }
    }
    return -1;
  }

  /**
   * No more than a part of the engines can be accused: the most accused stay, the others are talk.
   */
  private static List<WeightedQuorum.Assessment> bounded(
      List<WeightedQuorum.Assessment> beliefs, int engines) {
    int most = (int) (engines * MOST_ACCUSED);
    List<WeightedQuorum.Assessment> order = new ArrayList<>(beliefs);
    order.sort(
        Comparator.<WeightedQuorum.Assessment>comparingDouble(b -> -b.level)
            .thenComparing(WeightedQuorum.Assessment::engine));
    List<WeightedQuorum.Assessment> bounded = new ArrayList<>();
    for (WeightedQuorum.Assessment b : order) {
      boolean over = b.level >= ACCUSED_LEVEL && bounded.size() >= most;
      bounded.add(
          over
              ? new WeightedQuorum.Assessment(
                  b.engine, b.incarnation, ONE_PEER, b.accusers, b.vouchers)
              : b);
    }
    return bounded;
  }
}
