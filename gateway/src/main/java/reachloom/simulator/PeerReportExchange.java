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

/** Carries shared evidence over the simulator's messages between instances; decides nothing. */
final class PeerReportExchange {
  private static final int MAX_BYTES = 256; // of a message, as the wire has it
  private static final int CLAIM = 4 + 2 + 2 + 2; // bytes: engine, failed, lost, age
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final long REVIEW = 250 * MILLISECOND;

  private final SchedulerEvents module;
  private final ActionWriter actions;
  private final OutcomeWindow ledger = new OutcomeWindow();
  private final WeightedQuorum corroboration = new WeightedQuorum(ledger);
  private final ReportScheduler courier;
  private final Map<String, Long> engines = new LinkedHashMap<>();
  private final Map<Integer, String> byMark = new LinkedHashMap<>();
  private final Map<String, Double> told = new LinkedHashMap<>();
  private long nextReview;

  PeerReportExchange(
      SchedulerEvents module,
      ActionWriter actions,
      int self,
      int instances,
      double price,
      long seed) {
    this.module = module;
    this.actions = actions;
    courier = new ReportScheduler(self, instances, price, new SplittableRandom(seed));
  }

  void engines(boolean whole, List<EngineEndpoint> entries) {
    if (whole) {
      engines.clear();
      byMark.clear();
    }
    for (EngineEndpoint e : entries) {
      Long old =
          e.state() == EngineState.REMOVED
              ? engines.remove(e.name())
              : engines.put(e.name(), e.incarnation());
      if (old != null) { // a process that has started anew inherits nothing of the one before
        byMark.remove(mark(e.name(), old));
      }
      if (e.state() != EngineState.REMOVED) {
        byMark.put(mark(e.name(), e.incarnation()), e.name());
      }
    }
  }

  private static int mark(String engine, long since) {
    CRC32C sum = new CRC32C();
    sum.update(engine.getBytes(StandardCharsets.UTF_8));
    sum.update(ByteBuffer.allocate(Long.BYTES).putLong(since).flip());
    return (int) sum.getValue();
  }

  void ended(long now, AttemptResult end) {
    Optional<OutcomeWindow.Observation> seen =
        OutcomeWindow.Observation.of(end.outcome(), !end.queryFinished());
    Long since = engines.get(end.engine());
    if (seen.isPresent()
        && since != null
        && !(end.queryFinished() && end.outcome() != AttemptOutcome.SERVED)) {
      ledger.record(now, end.engine(), since, seen.get());
      courier.onObservation(seen.get());
    }
  }

  /** Time has passed: tells others, and the module what others told. */
  void look(long now) {
    List<Integer> receivers = courier.receivers(now);
    if (!receivers.isEmpty()) {
      byte[] message = message(now);
      if (message.length > 0) {
        receivers.forEach(r -> actions.publish(r, message));
      }
    }
    if (now < nextReview) {
      return;
    }
    nextReview = now + REVIEW;
    Map<String, Double> levels = new LinkedHashMap<>();
    for (WeightedQuorum.Assessment b : corroboration.assess(now, engines)) {
      levels.put(b.engine(), b.level());
    }
    for (String engine : new ArrayList<>(told.keySet())) {
      if (!levels.containsKey(engine)) {
        told.remove(engine);
        module.onPeerReport(now, engine, 0);
      }
    }
    levels.forEach(
        (engine, level) -> {
          if (!level.equals(told.put(engine, level))) {
            module.onPeerReport(now, engine, level);
          }
        });
  }

  private byte[] message(long now) {
    ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
    for (PeerReport c : ledger.reportsToSend(now, MAX_BYTES / CLAIM)) {
      if (c.served() == 0) { // trouble alone is worth its price
        out.putInt(mark(c.engine(), c.incarnation()))
            .putShort((short) Math.min(Short.MAX_VALUE, c.failed()))
            .putShort((short) Math.min(Short.MAX_VALUE, c.timedOut()))
            .putShort((short) Math.min(Short.MAX_VALUE, c.ageNanos() / MILLISECOND));
      }
    }
    byte[] message = new byte[out.position()];
    out.flip().get(message);
    return message;
  }

  void heard(long now, int from, byte[] message) {
    ByteBuffer in = ByteBuffer.wrap(message);
    List<PeerReport> claims = new ArrayList<>();
    while (in.remaining() >= CLAIM) {
      String engine = byMark.get(in.getInt());
      int failed = in.getShort();
      int lost = in.getShort();
      long age = in.getShort() * MILLISECOND;
      if (engine != null) {
        claims.add(new PeerReport(engine, engines.get(engine), 0, failed, lost, age));
      }
    }
    corroboration.onReports(now, Integer.toString(from), claims);
  }
}
