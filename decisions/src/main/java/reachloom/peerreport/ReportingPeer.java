package reachloom.peerreport;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One peer's reports and reputation; kept by {@link WeightedQuorum}. */
final class ReportingPeer {
  static final double INITIAL_REPUTATION = 0.5;

  private static final double CONTRADICTION_FACTOR = 0.6; // of reputation left by a contradiction
  private static final double CONFIRMATION_GAIN = 0.1; // of what it lacks, for a confirmed report
  private static final double RECOVERY_PER_SECOND = 0.005; // of what it is under the initial one
  private static final int MAX_REPORTS = 256;

  /** A report and when the latest attempt that it counts ended, by this node's clock. */
  record HeldReport(PeerReport report, long atNanos) {}

  private final Map<String, HeldReport> reports = new LinkedHashMap<>();
  private final Map<String, Long> judgedAtNanos = new LinkedHashMap<>();

  /** Engines about which the peer was contradicted, and when. */
  private final Map<String, Long> contradictedAtNanos = new LinkedHashMap<>();

  private double reputation = INITIAL_REPUTATION;
  private int contradictions;

  void add(long nowNanos, PeerReport report) {
    if (!reports.containsKey(report.engine()) && reports.size() >= MAX_REPORTS) {
      reports.remove(reports.keySet().iterator().next());
    }
    reports.put(report.engine(), new HeldReport(report, nowNanos - report.ageNanos()));
  }

  void clearReports() {
    reports.clear();
  }

  /** The latest report on that process of an engine; null for none. */
  HeldReport report(String engine, long incarnation) {
    HeldReport held = reports.get(engine);
    return held == null || held.report().incarnation() != incarnation ? null : held;
  }

  /** Forgets what lies longer back than it counts for. */
  void expire(long nowNanos, long reportNanos, long contradictionNanos, long judgementNanos) {
    reports.values().removeIf(held -> nowNanos - held.atNanos() > reportNanos);
    contradictedAtNanos.values().removeIf(at -> nowNanos - at > contradictionNanos);
    judgedAtNanos.values().removeIf(at -> nowNanos - at >= judgementNanos);
  }

  /** Lets a reputation under the initial one recover. */
  void recover(double seconds) {
    if (reputation < INITIAL_REPUTATION) {
      reputation += (INITIAL_REPUTATION - reputation) * Math.min(1, RECOVERY_PER_SECOND * seconds);
    }
  }

  boolean wasJudgedOn(String engine) {
    return judgedAtNanos.containsKey(engine);
  }

  /** This node's own attempts bear the peer's report out. */
  void onConfirmed(long nowNanos, String engine) {
    judgedAtNanos.put(engine, nowNanos);
    reputation += CONFIRMATION_GAIN * (1 - reputation);
  }

  /** This node's own attempts contradict the peer's report. */
  void onContradicted(long nowNanos, String engine) {
    judgedAtNanos.put(engine, nowNanos);
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

  /** Whether this peer and another one were contradicted about the same engine lately. */
  boolean sharesContradiction(ReportingPeer other) {
    return !Collections.disjoint(contradictedAtNanos.keySet(), other.contradictedAtNanos.keySet());
  }

  /** Whether one of the peers shares a contradiction with this one. */
  boolean sharesContradictionWithAny(List<ReportingPeer> peers) {
    return peers.stream().anyMatch(this::sharesContradiction);
  }
}
