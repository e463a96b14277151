package reachloom.peerreport;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reachloom.peerreport.ReportingPeer.StoredReport;

/**
 * Weighs peers' reports on engines by the number of peers, the age of each report, the number of
 * attempts that it counts, and the peer's reputation. The result is a level from 0 to 1 for each
 * engine: at {@link #ACCUSED_LEVEL} and above, a quorum of peers accuses the engine. A single peer
 * cannot raise an engine to that level; recent attempts by this node itself set the level to 0,
 * whatever peers report; and only a limited share of the engines can be accused at a time.
 *
 * <p>A peer's reputation falls with each report that this node's own attempts contradict, and
 * recovers slowly. Peers that were recently contradicted about the same engine count as one, so
 * that colluding nodes gain nothing by their number once they have been contradicted together. The
 * cost: a peer whose path to an engine is bad while this node's path is good also loses reputation.
 * Its reports are true for that peer, but say little about the engine as seen from this node.
 *
 * <p>Not thread-safe; times are nanoseconds of the caller's clock. Peers are kept in the order of
 * their names, so that the same events give bit-identical levels.
 */
public final class WeightedQuorum {
  /** The level from which a quorum of peers accuses an engine. */
  public static final double ACCUSED_LEVEL = 0.5;

  private static final long SECOND_NANOS = 1_000_000_000;

  // Long, because a failing engine gets few attempts, so that new reports on it are rare.
  private static final long REPORT_LIFETIME_NANOS = 20 * SECOND_NANOS;
  private static final double FADE_RATE = 2; // full weight in the first half of the lifetime
  private static final int OWN_FRESH_SECONDS = 3; // window in which own attempts override reports
  private static final int MIN_OWN_ATTEMPTS = 2; // within that window, to override reports
  private static final double MIN_ACCUSING_RATIO = 0.5; // failure ratio of an accusing report
  private static final double MAX_VOUCHING_RATIO = 0.2; // failure ratio of a vouching report
  private static final int MIN_ATTEMPTS = 2; // a single attempt may be chance
  // A report without any success accuses from this number on; few attempts give it less weight.
  private static final int MIN_FAILURES_WITHOUT_SUCCESS = 1;
  private static final double HALF_WEIGHT_ATTEMPTS = 1; // attempts that give half the weight
  private static final long EVALUATION_INTERVAL_NANOS = SECOND_NANOS; // per peer and engine
  private static final long CONTRADICTION_LIFETIME_NANOS = 60 * SECOND_NANOS;

  /**
   * The maximum level by the accusation of a single peer, or of one group that counts as one; also
   * the level of engines beyond the maximum share of accused engines.
   */
  private static final double MAX_LEVEL_WITHOUT_QUORUM = 0.4;

  private static final double PRIOR_WEIGHT = 0.15; // weight against each accusation
  private static final double MAX_ACCUSED_SHARE = 0.25; // of the engines
  private static final int MAX_PEERS = 2_048;

  /**
   * The result of weighing the peers' reports on one engine.
   *
   * @param engine the engine's name
   * @param incarnation the start time of its process
   * @param level from 0 (no accusation) to 1
   * @param accusers the peers whose reports accuse it
   * @param vouchers the peers whose reports vouch for it
   */
  public record Assessment(
      String engine, long incarnation, double level, List<String> accusers, List<String> vouchers) {
    private Assessment withLevel(double otherLevel) {
      return new Assessment(engine, incarnation, otherLevel, accusers, vouchers);
    }
  }

  /**
   * Groups accusers that were contradicted together; a group counts once, with its largest weight.
   */
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

  /**
   * Creates a quorum that compares peers' reports with the outcomes of this node's own attempts.
   */
  public WeightedQuorum(OutcomeWindow ownOutcomes) {
    this.ownOutcomes = ownOutcomes;
  }

  /** Stores the reports of a peer; ignores those with negative values or past their lifetime. */
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
   * Removes the reports of a peer that is no longer a member. Its reputation stays, so that a peer
   * cannot restore it by leaving.
   */
  public void onPeerRemoved(String peerName) {
    ReportingPeer peer = peers.get(peerName);
    if (peer != null) {
      peer.clearReports();
    }
  }

  /**
   * Returns how reliable a peer has been so far, from 0 to 1; the initial value for an unknown
   * peer.
   */
  public double reputation(String peerName) {
    ReportingPeer peer = peers.get(peerName);
    return peer == null ? ReportingPeer.INITIAL_REPUTATION : peer.reputation();
  }

  /** Returns how many reports of a peer this node's own attempts have contradicted. */
  public int contradictions(String peerName) {
    ReportingPeer peer = peers.get(peerName);
    return peer == null ? 0 : peer.contradictions();
  }

  /**
   * Evaluates the peers by this node's own attempts, and weighs the reports on the engines that
   * have too few own attempts.
   *
   * @param engines name and incarnation of each engine in use
   * @return assessments of the engines with a level above 0, ordered by the level before the limit
   *     on the share of accused engines is applied, the highest first
   */
  public List<Assessment> assess(long nowNanos, Map<String, Long> engines) {
    recoverReputations(nowNanos);
    for (ReportingPeer peer : peers.values()) {
      peer.expire(
          nowNanos, REPORT_LIFETIME_NANOS, CONTRADICTION_LIFETIME_NANOS, EVALUATION_INTERVAL_NANOS);
    }
    List<Assessment> assessments = new ArrayList<>();
    engines.forEach(
        (engine, incarnation) -> {
          PeerReport own = ownOutcomes.summary(nowNanos, engine, incarnation, OWN_FRESH_SECONDS);
          evaluatePeers(nowNanos, own);
          if (own.attempts() < MIN_OWN_ATTEMPTS) {
            Assessment assessment = weigh(nowNanos, engine, incarnation);
            if (assessment.level > 0) {
              assessments.add(assessment);
            }
          }
        });
    return limitAccusations(assessments, engines.size());
  }

  private void recoverReputations(long nowNanos) {
    double seconds =
        assessedAtNanos == 0 ? 0 : (nowNanos - assessedAtNanos) / (double) SECOND_NANOS;
    assessedAtNanos = nowNanos;
    peers.values().forEach(peer -> peer.recover(seconds));
  }

  /**
   * Compares the peers' reports on an engine with this node's own attempts, if those clearly show a
   * healthy or a failing engine.
   */
  private void evaluatePeers(long nowNanos, PeerReport own) {
    boolean enough = own.attempts() >= MIN_OWN_ATTEMPTS;
    boolean healthy = enough && own.failureRatio() <= MAX_VOUCHING_RATIO && own.unserved() == 0;
    boolean failing = enough && own.failureRatio() >= MIN_ACCUSING_RATIO;
    if (healthy || failing) {
      peers.values().forEach(peer -> evaluate(nowNanos, peer, own, failing));
    }
  }

  private void evaluate(long nowNanos, ReportingPeer peer, PeerReport own, boolean failing) {
    String engine = own.engine();
    StoredReport stored = peer.report(engine, own.incarnation());
    boolean comparable =
        stored != null
            && nowNanos - stored.atNanos() <= OWN_FRESH_SECONDS * SECOND_NANOS
            && !peer.wasEvaluatedOn(engine);
    if (!comparable || !accuses(stored.report()) && !vouches(stored.report())) {
      return;
    }
    // A report from before this node's latest failure may have been true at its time.
    boolean outdated =
        stored.atNanos() <= ownOutcomes.lastFailureAtNanos(engine, own.incarnation());
    if (failing && vouches(stored.report()) && outdated) {
      return;
    }
    if (accuses(stored.report()) == failing) {
      peer.onConfirmed(nowNanos, engine);
    } else {
      peer.onContradicted(nowNanos, engine);
    }
  }

  private static boolean accuses(PeerReport report) {
    int unserved = report.unserved();
    return unserved >= MIN_ATTEMPTS && report.failureRatio() >= MIN_ACCUSING_RATIO
        || unserved >= MIN_FAILURES_WITHOUT_SUCCESS && report.served() == 0;
  }

  private static boolean vouches(PeerReport report) {
    return report.served() >= MIN_ATTEMPTS && report.failureRatio() <= MAX_VOUCHING_RATIO;
  }

  private Assessment weigh(long nowNanos, String engine, long incarnation) {
    List<String> accusers = new ArrayList<>();
    List<String> vouchers = new ArrayList<>();
    AccuserGroups groups = new AccuserGroups();
    double opposingWeight = PRIOR_WEIGHT;
    for (Map.Entry<String, ReportingPeer> entry : peers.entrySet()) {
      ReportingPeer peer = entry.getValue();
      StoredReport stored = peer.report(engine, incarnation);
      if (stored == null) {
        continue;
      }
      double weight = weight(nowNanos, peer, stored);
      if (accuses(stored.report())) {
        accusers.add(entry.getKey());
        groups.add(peer, weight);
      } else if (vouches(stored.report())) {
        vouchers.add(entry.getKey());
        opposingWeight += weight;
      }
    }
    double total = groups.totalWeight();
    double level = total <= 0 ? 0 : total / (total + opposingWeight);
    if (groups.count() <= 1) {
      level = Math.min(level, MAX_LEVEL_WITHOUT_QUORUM);
    }
    return new Assessment(engine, incarnation, level, accusers, vouchers);
  }

  /**
   * Returns the weight of a report: the square of the peer's reputation, times the freshness (1 in
   * the first half of the lifetime, then falling to 0), times a factor that grows with the number
   * of attempts.
   */
  private static double weight(long nowNanos, ReportingPeer peer, StoredReport stored) {
    double age = (double) (nowNanos - stored.atNanos()) / REPORT_LIFETIME_NANOS;
    double freshness = Math.min(1, FADE_RATE * (1 - age));
    int attempts = stored.report().attempts();
    double sampleFactor = attempts / (attempts + HALF_WEIGHT_ATTEMPTS);
    return peer.reputation() * peer.reputation() * freshness * sampleFactor;
  }

  /**
   * Limits the number of accused engines to a share of all: those with the highest levels stay
   * accused.
   */
  private static List<Assessment> limitAccusations(List<Assessment> assessments, int engineCount) {
    int maxAccused = (int) (engineCount * MAX_ACCUSED_SHARE);
    List<Assessment> order = new ArrayList<>(assessments);
    order.sort(
        Comparator.<Assessment>comparingDouble(assessment -> -assessment.level)
            .thenComparing(Assessment::engine));
    List<Assessment> bounded = new ArrayList<>();
    for (Assessment assessment : order) {
      boolean overLimit = assessment.level >= ACCUSED_LEVEL && bounded.size() >= maxAccused;
      bounded.add(overLimit ? assessment.withLevel(MAX_LEVEL_WITHOUT_QUORUM) : assessment);
    }
    return bounded;
  }
}
