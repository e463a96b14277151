package reachloom.simulator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import reachloom.peerreport.OutcomeWindow;
import reachloom.peerreport.PeerReport;
import reachloom.peerreport.ReportScheduler;
import reachloom.peerreport.WeightedQuorum;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;
import reachloom.scheduler.api.SchedulerEvents;

/**
 * Exchanges peer reports between the gateway instances of a simulation in messages of the
 * simulator's protocol: sends the outcomes that one instance has observed on engines, and reports
 * those of other instances to its scheduler. {@link ReportScheduler} decides when and to whom
 * reports are sent, {@link WeightedQuorum} how they are weighed.
 */
final class PeerReportExchange {
  /** The largest message that the protocol allows. */
  private static final int MAX_MESSAGE_BYTES = 256;

  /** The size of one report: the engine's fingerprint, failures, timeouts and age. */
  private static final int REPORT_BYTES = Integer.BYTES + 3 * Short.BYTES;

  private static final long NANOS_PER_MILLISECOND = 1_000_000;
  private static final long ASSESSMENT_INTERVAL_NANOS = 250 * NANOS_PER_MILLISECOND;

  private final SchedulerEvents scheduler;
  private final ActionWriter actions;
  private final OutcomeWindow outcomes = new OutcomeWindow();
  private final WeightedQuorum quorum = new WeightedQuorum(outcomes);
  private final ReportScheduler reports;
  private final Map<String, Long> incarnationByEngine = new LinkedHashMap<>();
  private final Map<Integer, String> engineByFingerprint = new LinkedHashMap<>();
  private final Map<String, Double> reportedLevels = new LinkedHashMap<>();
  private long nextAssessmentNanos;

  /**
   * Creates an exchange without reports.
   *
   * @param price what the platform asks for a message; see {@link ReportScheduler}
   */
  PeerReportExchange(
      SchedulerEvents scheduler,
      ActionWriter actions,
      int selfIndex,
      int instances,
      double price,
      long seed) {
    this.scheduler = scheduler;
    this.actions = actions;
    reports = new ReportScheduler(selfIndex, instances, price, new SplittableRandom(seed));
  }

  /** Applies list entries; {@code complete} removes engines without an entry. */
  void onEndpoints(boolean complete, List<EngineEndpoint> entries) {
    if (complete) {
      incarnationByEngine.clear();
      engineByFingerprint.clear();
    }
    for (EngineEndpoint entry : entries) {
      Long oldIncarnation =
          entry.state() == EngineState.REMOVED
              ? incarnationByEngine.remove(entry.name())
              : incarnationByEngine.put(entry.name(), entry.incarnation());
      if (oldIncarnation != null) { // reports on a replaced process do not apply to the new one
        engineByFingerprint.remove(fingerprint(entry.name(), oldIncarnation));
      }
      if (entry.state() != EngineState.REMOVED) {
        engineByFingerprint.put(fingerprint(entry.name(), entry.incarnation()), entry.name());
      }
    }
  }

  /** Identifies a process of an engine by four bytes: the messages are too small for its name. */
  private static int fingerprint(String engine, long incarnation) {
    CRC32C checksum = new CRC32C();
    checksum.update(engine.getBytes(StandardCharsets.UTF_8));
    checksum.update(ByteBuffer.allocate(Long.BYTES).putLong(incarnation).flip());
    return (int) checksum.getValue();
  }

  /**
   * Records the outcome of an attempt; one that did not serve its query does not count if the query
   * has finished.
   */
  void onAttemptEnded(long nowNanos, AttemptResult result) {
    Optional<OutcomeWindow.Observation> observation =
        OutcomeWindow.Observation.of(result.outcome(), !result.queryFinished());
    Long incarnation = incarnationByEngine.get(result.engine());
    if (observation.isPresent()
        && incarnation != null
        && !(result.queryFinished() && result.outcome() != AttemptOutcome.SERVED)) {
      outcomes.record(nowNanos, result.engine(), incarnation, observation.get());
      reports.onObservation(observation.get());
    }
  }

  /** Sends the reports that are due, and passes changed levels of engines to the scheduler. */
  void exchange(long nowNanos) {
    List<Integer> receivers = reports.receivers(nowNanos);
    if (!receivers.isEmpty()) {
      byte[] message = message(nowNanos);
      if (message.length > 0) {
        receivers.forEach(receiver -> actions.publish(receiver, message));
      }
    }
    if (nowNanos < nextAssessmentNanos) {
      return;
    }
    nextAssessmentNanos = nowNanos + ASSESSMENT_INTERVAL_NANOS;
    Map<String, Double> levels = new LinkedHashMap<>();
    for (WeightedQuorum.Assessment assessment : quorum.assess(nowNanos, incarnationByEngine)) {
      levels.put(assessment.engine(), assessment.level());
    }
    for (String engine : new ArrayList<>(reportedLevels.keySet())) {
      if (!levels.containsKey(engine)) {
        reportedLevels.remove(engine);
        scheduler.onPeerReport(nowNanos, engine, 0);
      }
    }
    levels.forEach(
        (engine, level) -> {
          if (!level.equals(reportedLevels.put(engine, level))) {
            scheduler.onPeerReport(nowNanos, engine, level);
          }
        });
  }

  private byte[] message(long nowNanos) {
    ByteBuffer out = ByteBuffer.allocate(MAX_MESSAGE_BYTES);
    for (PeerReport report : outcomes.reportsToSend(nowNanos, MAX_MESSAGE_BYTES / REPORT_BYTES)) {
      if (report.served() == 0) { // only failures are worth the price of a message
        long ageMillis = report.ageNanos() / NANOS_PER_MILLISECOND;
        out.putInt(fingerprint(report.engine(), report.incarnation()))
            .putShort((short) Math.min(Short.MAX_VALUE, report.failed()))
            .putShort((short) Math.min(Short.MAX_VALUE, report.timedOut()))
            .putShort((short) Math.min(Short.MAX_VALUE, ageMillis));
      }
    }
    byte[] message = new byte[out.position()];
    out.flip().get(message);
    return message;
  }

  /** Handles a message of another instance. */
  void onMessage(long nowNanos, int sender, byte[] message) {
    ByteBuffer in = ByteBuffer.wrap(message);
    List<PeerReport> received = new ArrayList<>();
    while (in.remaining() >= REPORT_BYTES) {
      String engine = engineByFingerprint.get(in.getInt());
      int failed = in.getShort();
      int timedOut = in.getShort();
      long ageNanos = in.getShort() * NANOS_PER_MILLISECOND;
      if (engine != null) {
        long incarnation = incarnationByEngine.get(engine);
        received.add(new PeerReport(engine, incarnation, 0, failed, timedOut, ageNanos));
      }
    }
    quorum.onReports(nowNanos, Integer.toString(sender), received);
  }
}
