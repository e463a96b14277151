package reachloom.peerreport;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reachloom.peerreport.ReportingPeer.HeldReport;

/**
 * Weighs what peers report of engines by how many they are, how fresh and how broad their reports
 * are, and how reliable each peer has been so far. The result is a level from 0 to 1 for each
 * engine: at {@link #ACCUSED_LEVEL} and above a quorum of peers accuses it. One peer alone never
 * brings an engine that far; fresh attempts of this node's own bring its level to 0, whatever
 * others report; and no more than a share of the engines can be accused at a time.
 *
 * <p>A peer's reputation falls with each report that this node's own attempts contradict, and
 * recovers slowly. Peers that were contradicted about the same engine lately count as one: nodes
 * that agree on a lie gain nothing by being many once they have been found out together. The cost
 * is borne by peers whose path to an engine is bad while this node's is good: what they report is
 * true for them, and counts for little here, as it should.
 *
 * <p>Not thread-safe; times are nanoseconds of the clock handed in. Peers are held in the order of
 * their names, so that the same events give the same levels bit by bit.
 */
public final class WeightedQuorum {
  /** From this level on a quorum of peers accuses an engine. */
  public static final double ACCUSED_LEVEL = 0.5;

  private static final long SECOND_NANOS = 1_000_000_000;

  // An engine that fails is avoided, so that new reports on it are rare.
  private static final long REPORT_LIFETIME_NANOS = 20 * SECOND_NANOS;
  private static final double FADE_RATE = 2; // full weight in the first half of a report's lifetime
  private static final int OWN_FRESH_SECONDS = 3; // in which own attempts go before reports
  private static final int MIN_OWN_ATTEMPTS = 2; // in them that settle it
  private static final double MIN_ACCUSING_RATIO = 0.5; // of failures: a report accuses from here
  private static final double MAX_VOUCHING_RATIO = 0.2; // ... and vouches up to here
  private static final int MIN_ATTEMPTS = 2; // that a report counts: one may be chance
  private static final int MIN_LONE_FAILURES = 1; // ... without success, for less weight
  private static final double HALF_WEIGHT_ATTEMPTS = 1; // at which a report has half its weight
  private static final long JUDGEMENT_INTERVAL_NANOS = SECOND_NANOS; // of a peer on an engine
  private static final long CONTRADICTION_MEMORY_NANOS = 60 * SECOND_NANOS;
  private static final double MAX_LEVEL_OF_ONE =
      0.4; // by one peer, or one group that counts as one
  private static final double PRIOR_WEIGHT = 0.15; // against each accusation
  private static final double MAX_ACCUSED_SHARE = 0.25; // of the engines
  private static final int MAX_PEERS = 2_048;

  /**
   * What peers make this node believe of one engine, and why.
   *
   * @param engine the engine's name
   * @param incarnation the start of its process
   * @param level from 0, nothing against it, to 1
   * @param accusers the peers whose reports accuse it
   * @param vouchers the peers whose reports vouch for it
   */
  public record Assessment(
      String engine, long incarnation, double level, List<String> accusers, List<String> vouchers) {
    private Assessment withLevel(double otherLevel) {
      return new Assessment(engine, incarnation, otherLevel, accusers, vouchers);
    }
  }

  /** Accusers that were contradicted together count as one, with their largest weight. */
  private static final class AccuserGroups {
    private final List<List<ReportingPeer>> groups = new ArrayList<>();
    private final List<Double> weights = new ArrayList<>();

    private void add(ReportingPeer peer, double weight) {
      int group = 0;
      while (group < groups.size() && !peer.sharesContradictionWithAny(groups.get(group))) {
        group++;
      }
      if (group == groups.size()) {
        groups.add(new ArrayList<>(List.of(peer)));
        weights.add(weight);
      } else {
        groups.get(group).add(peer);
        weights.set(group, Math.max(weights.get(group), weight));
      }
    }

    private int count() {
      return groups.size();
    }

    private double totalWeight() {
      return weights.stream().mapToDouble(weight -> weight).sum();
    }
  }

  private final OutcomeWindow ownOutcomes;
  private final TreeMap<String, ReportingPeer> peers = new TreeMap<>();
  private long assessedAtNanos;

  /** Weighs peers' reports beside the outcomes of this node's own attempts. */
  public WeightedQuorum(OutcomeWindow ownOutcomes) {
    this.ownOutcomes = ownOutcomes;
  }

  /** Takes in the reports of a peer; those with impossible values are left out. */
  public void onReports(long nowNanos, String peerName, List<PeerReport> reports) {
    ReportingPeer peer = peers.get(peerName);
    if (peer == null) {
      if (peers.size() >= MAX_PEERS) {
        return;
      }
      peer = new ReportingPeer();
      peers.put(peerName, peer);
    }
    for (PeerReport report : reports) {
      if (isUsable(report)) {
        peer.add(nowNanos, report);
      }
    }
  }

  private static boolean isUsable(PeerReport report) {
    return report.served() >= 0
        && report.failed() >= 0
        && report.timedOut() >= 0
        && report.ageNanos() >= 0
        && report.ageNanos() < REPORT_LIFETIME_NANOS;
  }

  /**
   * A peer is no longer a member: its reports no longer count, its reputation stays, so that
   * leaving clears no name.
   */
  public void onPeerGone(String peerName) {
    ReportingPeer peer = peers.get(peerName);
    if (peer != null) {
      peer.clearReports();
    }
  }

  /** How reliable a peer has been so far, from 0 to 1; the initial value for an unknown one. */
  public double reputation(String peerName) {
    ReportingPeer peer = peers.get(peerName);
    return peer == null ? ReportingPeer.INITIAL_REPUTATION : peer.reputation();
  }

  /** How many reports of a peer this node's own attempts have contradicted. */
  public int contradictions(String peerName) {
    ReportingPeer peer = peers.get(peerName);
    return peer == null ? 0 : peer.contradictions();
  }

  /**
   * Judges the peers by this node's own attempts, and weighs what is left.
   *
   * @param engines name and incarnation of each engine in use
   * @return assessments of those with a level above 0, the highest level first
   */
  public List<Assessment> assess(long nowNanos, Map<String, Long> engines) {
    recoverReputations(nowNanos);
    for (ReportingPeer peer : peers.values()) {
      peer.expire(
          nowNanos, REPORT_LIFETIME_NANOS, CONTRADICTION_MEMORY_NANOS, JUDGEMENT_INTERVAL_NANOS);
    }
    List<Assessment> assessments = new ArrayList<>();
    engines.forEach(
        (engine, incarnation) -> {
          PeerReport own = ownOutcomes.summary(nowNanos, engine, incarnation, OWN_FRESH_SECONDS);
          judgePeers(nowNanos, own);
          if (own.attempts() < MIN_OWN_ATTEMPTS) {
            Assessment assessment = weigh(nowNanos, engine, incarnation);
            if (assessment.level > 0) {
              assessments.add(assessment);
            }
          }
        });
    return withBoundedAccusations(assessments, engines.size());
  }

  private void recoverReputations(long nowNanos) {
    double seconds =
        assessedAtNanos == 0 ? 0 : (nowNanos - assessedAtNanos) / (double) SECOND_NANOS;
    assessedAtNanos = nowNanos;
    peers.values().forEach(peer -> peer.recover(seconds));
  }

  /**
   * What own attempts show of the peers' reports on an engine: only where they are plain, and about
   * the same time.
   */
  private void judgePeers(long nowNanos, PeerReport own) {
    boolean enough = own.attempts() >= MIN_OWN_ATTEMPTS;
    boolean healthy = enough && own.failureRatio() <= MAX_VOUCHING_RATIO && own.unserved() == 0;
    boolean failing = enough && own.failureRatio() >= MIN_ACCUSING_RATIO;
    if (healthy || failing) {
      peers.values().forEach(peer -> judge(nowNanos, peer, own, failing));
    }
  }

  private void judge(long nowNanos, ReportingPeer peer, PeerReport own, boolean failing) {
    String engine = own.engine();
    HeldReport held = peer.report(engine, own.incarnation());
    boolean comparable =
        held != null
            && nowNanos - held.atNanos() <= OWN_FRESH_SECONDS * SECOND_NANOS
            && !peer.wasJudgedOn(engine);
    if (!comparable || !accuses(held.report()) && !vouches(held.report())) {
      return;
    }
    // What was seen before this node's latest failure may have been true then.
    boolean outdated = held.atNanos() <= ownOutcomes.lastFailureAtNanos(engine, own.incarnation());
    if (failing && vouches(held.report()) && outdated) {
      return;
    }
    if (accuses(held.report()) == failing) {
      peer.onConfirmed(nowNanos, engine);
    } else {
      peer.onContradicted(nowNanos, engine);
    }
  }

  private static boolean accuses(PeerReport report) {
    int unserved = report.unserved();
    return unserved >= MIN_ATTEMPTS && report.failureRatio() >= MIN_ACCUSING_RATIO
        || unserved >= MIN_LONE_FAILURES && report.served() == 0;
  }

  private static boolean vouches(PeerReport report) {
    return report.served() >= MIN_ATTEMPTS && report.failureRatio() <= MAX_VOUCHING_RATIO;
  }

  private Assessment weigh(long nowNanos, String engine, long incarnation) {
    List<String> accusers = new ArrayList<>();
    List<String> vouchers = new ArrayList<>();
    AccuserGroups groups = new AccuserGroups();
    double against = PRIOR_WEIGHT;
    for (Map.Entry<String, ReportingPeer> entry : peers.entrySet()) {
      ReportingPeer peer = entry.getValue();
      HeldReport held = peer.report(engine, incarnation);
      if (held == null) {
        continue;
      }
      double weight = weight(nowNanos, peer, held);
      if (accuses(held.report())) {
        accusers.add(entry.getKey());
        groups.add(peer, weight);
      } else if (vouches(held.report())) {
        vouchers.add(entry.getKey());
        against += weight;
      }
    }
    double total = groups.totalWeight();
    double level = total <= 0 ? 0 : total / (total + against);
    if (groups.count() <= 1) {
      level = Math.min(level, MAX_LEVEL_OF_ONE);
    }
    return new Assessment(engine, incarnation, level, accusers, vouchers);
  }

  /** The weight of a report: full at first, fading over the second half of its lifetime. */
  private static double weight(long nowNanos, ReportingPeer peer, HeldReport held) {
    double age = (double) (nowNanos - held.atNanos()) / REPORT_LIFETIME_NANOS;
    double freshness = Math.min(1, FADE_RATE * (1 - age));
    int attempts = held.report().attempts();
    double breadth = attempts / (attempts + HALF_WEIGHT_ATTEMPTS);
    return peer.reputation() * peer.reputation() * freshness * breadth;
  }

  /** No more than a share of the engines can be accused: those with the highest levels stay. */
  private static List<Assessment> withBoundedAccusations(
      List<Assessment> assessments, int engineCount) {
    int maxAccused = (int) (engineCount * MAX_ACCUSED_SHARE);
    List<Assessment> order = new ArrayList<>(assessments);
    order.sort(
        Comparator.<Assessment>comparingDouble(assessment -> -assessment.level)
            .thenComparing(Assessment::engine));
    List<Assessment> bounded = new ArrayList<>();
    for (Assessment assessment : order) {
      boolean over = assessment.level >= ACCUSED_LEVEL && bounded.size() >= maxAccused;
      bounded.add(over ? assessment.withLevel(MAX_LEVEL_OF_ONE) : assessment);
    }
    return bounded;
  }
}
