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
 * Exchanges peer reports between the gateway instances of a simulation, in the messages that its
 * wire carries: reports what one instance has seen of engines, and tells its scheduler what others
 * report. The decisions are those of {@link ReportScheduler} and {@link WeightedQuorum}.
 */
final class PeerReportExchange {
  /** The largest message that the wire allows. */
  private static final int MAX_MESSAGE_BYTES = 256;

  /** The bytes of one report: the engine's fingerprint, failures, losses and age. */
  private static final int REPORT_BYTES = Integer.BYTES + 3 * Short.BYTES;

  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final long REVIEW_INTERVAL = 250 * MILLISECOND;

  private final SchedulerEvents scheduler;
  private final ActionWriter actions;
  private final OutcomeWindow outcomes = new OutcomeWindow();
  private final WeightedQuorum quorum = new WeightedQuorum(outcomes);
  private final ReportScheduler reports;
  private final Map<String, Long> engines = new LinkedHashMap<>();
  private final Map<Integer, String> engineByFingerprint = new LinkedHashMap<>();
  private final Map<String, Double> reportedLevels = new LinkedHashMap<>();
  private long nextReview;

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

  /** Takes over news of the engines; {@code complete} removes those not named. */
  void onEndpoints(boolean complete, List<EngineEndpoint> entries) {
    if (complete) {
      engines.clear();
      engineByFingerprint.clear();
    }
    for (EngineEndpoint e : entries) {
      Long old =
          e.state() == EngineState.REMOVED
              ? engines.remove(e.name())
              : engines.put(e.name(), e.incarnation());
      if (old != null) { // a process that has started anew inherits nothing of the one before
        engineByFingerprint.remove(fingerprint(e.name(), old));
      }
      if (e.state() != EngineState.REMOVED) {
        engineByFingerprint.put(fingerprint(e.name(), e.incarnation()), e.name());
      }
    }
  }

  /** Names a process of an engine in four bytes: the wire leaves no room for its name. */
  private static int fingerprint(String engine, long since) {
    CRC32C sum = new CRC32C();
    sum.update(engine.getBytes(StandardCharsets.UTF_8));
    sum.update(ByteBuffer.allocate(Long.BYTES).putLong(since).flip());
    return (int) sum.getValue();
  }

  /** Counts the outcome of an attempt. */
  void onAttemptEnded(long now, AttemptResult end) {
    Optional<OutcomeWindow.Observation> seen =
        OutcomeWindow.Observation.of(end.outcome(), !end.queryFinished());
    Long since = engines.get(end.engine());
    if (seen.isPresent()
        && since != null
        && !(end.queryFinished() && end.outcome() != AttemptOutcome.SERVED)) {
      outcomes.record(now, end.engine(), since, seen.get());
      reports.onObservation(seen.get());
    }
  }

  /** Sends reports that are due, and tells the scheduler what others report. */
  void exchange(long now) {
    List<Integer> receivers = reports.receivers(now);
    if (!receivers.isEmpty()) {
      byte[] message = message(now);
      if (message.length > 0) {
        receivers.forEach(r -> actions.publish(r, message));
      }
    }
    if (now < nextReview) {
      return;
    }
    nextReview = now + REVIEW_INTERVAL;
    Map<String, Double> levels = new LinkedHashMap<>();
    for (WeightedQuorum.Assessment b : quorum.assess(now, engines)) {
      levels.put(b.engine(), b.level());
    }
    for (String engine : new ArrayList<>(reportedLevels.keySet())) {
      if (!levels.containsKey(engine)) {
        reportedLevels.remove(engine);
        scheduler.onPeerReport(now, engine, 0);
      }
    }
    levels.forEach(
        (engine, level) -> {
          if (!level.equals(reportedLevels.put(engine, level))) {
            scheduler.onPeerReport(now, engine, level);
          }
        });
  }

  private byte[] message(long now) {
    ByteBuffer out = ByteBuffer.allocate(MAX_MESSAGE_BYTES);
    for (PeerReport c : outcomes.reportsToSend(now, MAX_MESSAGE_BYTES / REPORT_BYTES)) {
      if (c.served() == 0) { // only faults are worth the price of a message
        out.putInt(fingerprint(c.engine(), c.incarnation()))
            .putShort((short) Math.min(Short.MAX_VALUE, c.failed()))
            .putShort((short) Math.min(Short.MAX_VALUE, c.timedOut()))
            .putShort((short) Math.min(Short.MAX_VALUE, c.ageNanos() / MILLISECOND));
      }
    }
    byte[] message = new byte[out.position()];
    out.flip().get(message);
    return message;
  }

  /** Takes in a message of another instance. */
  void onMessage(long now, int from, byte[] message) {
    ByteBuffer in = ByteBuffer.wrap(message);
    List<PeerReport> claims = new ArrayList<>();
    while (in.remaining() >= REPORT_BYTES) {
      String engine = engineByFingerprint.get(in.getInt());
      int failed = in.getShort();
      int lost = in.getShort();
      long age = in.getShort() * MILLISECOND;
      if (engine != null) {
        claims.add(new PeerReport(engine, engines.get(engine), 0, failed, lost, age));
      }
    }
    quorum.onReports(now, Integer.toString(from), claims);
  }
}
