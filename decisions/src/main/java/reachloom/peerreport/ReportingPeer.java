package reachloom.peerreport;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One peer's reports and reputation; kept by {@link WeightedQuorum}. */
final class ReportingPeer {
  static final double INITIAL_REPUTATION = 0.5;

  private static final double CONTRADICTION_FACTOR = 0.6; // multiplies the reputation
  private static final double CONFIRMATION_GAIN = 0.1; // share of the gap to 1
  private static final double RECOVERY_PER_SECOND = 0.005; // share of the gap to the initial one
  private static final int MAX_REPORTS = 256;

  /** A report, and when its latest attempt ended by this node's clock. */
  record StoredReport(PeerReport report, long atNanos) {}

  private final Map<String, StoredReport> reports = new LinkedHashMap<>();
  private final Map<String, Long> evaluatedAtNanos = new LinkedHashMap<>();

  /** When the peer was last contradicted, by engine. */
  private final Map<String, Long> contradictedAtNanos = new LinkedHashMap<>();

  private double reputation = INITIAL_REPUTATION;
  private int contradictions;

  void add(long nowNanos, PeerReport report) {
    if (!reports.containsKey(report.engine()) && reports.size() >= MAX_REPORTS) {
      reports.remove(reports.keySet().iterator().next());
    }
    reports.put(report.engine(), new StoredReport(report, nowNanos - report.ageNanos()));
  }

  void clearReports() {
    reports.clear();
  }

  /** Returns the latest report on that process of an engine; null for none. */
  StoredReport report(String engine, long incarnation) {
    StoredReport stored = reports.get(engine);
    return stored == null || stored.report().incarnation() != incarnation ? null : stored;
  }

  /** Removes reports, contradictions and evaluations that are older than their lifetimes. */
  void expire(long nowNanos, long reportNanos, long contradictionNanos, long evaluationNanos) {
    reports.values().removeIf(stored -> nowNanos - stored.atNanos() > reportNanos);
    contradictedAtNanos.values().removeIf(at -> nowNanos - at > contradictionNanos);
    evaluatedAtNanos.values().removeIf(at -> nowNanos - at >= evaluationNanos);
  }

  /** Raises a reputation that is below the initial one, according to the time that has passed. */
  void recover(double seconds) {
    if (reputation < INITIAL_REPUTATION) {
      reputation += (INITIAL_REPUTATION - reputation) * Math.min(1, RECOVERY_PER_SECOND * seconds);
    }
  }

  boolean wasEvaluatedOn(String engine) {
    return evaluatedAtNanos.containsKey(engine);
  }

  /** Raises the reputation after this node's own attempts have confirmed the peer's report. */
  void onConfirmed(long nowNanos, String engine) {
    evaluatedAtNanos.put(engine, nowNanos);
    reputation += CONFIRMATION_GAIN * (1 - reputation);
  }

  /** Lowers the reputation after this node's own attempts have contradicted the peer's report. */
  void onContradicted(long nowNanos, String engine) {
    evaluatedAtNanos.put(engine, nowNanos);
    reputation *= CONTRADICTION_FACTOR;
    contradictions++;
    contradictedAtNanos.put(engine, nowNanos);
  }

  double reputation() {
    return reputation;
  }

  int contradictions() {
    return contradictions;
  }

  /** Returns whether this peer and another one were recently contradicted about the same engine. */
  boolean sharesContradiction(ReportingPeer other) {
    return !Collections.disjoint(contradictedAtNanos.keySet(), other.contradictedAtNanos.keySet());
  }

  /** Returns whether any of the peers shares a contradiction with this one. */
  boolean sharesContradictionWithAny(List<ReportingPeer> peers) {
    return peers.stream().anyMatch(this::sharesContradiction);
  }
}
