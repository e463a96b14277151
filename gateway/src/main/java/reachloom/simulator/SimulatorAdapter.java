package reachloom.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import reachloom.config.SchedulerSettingsReader;
import reachloom.scheduler.QueryScheduler;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.AttemptResult;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;

/**
 * The adapter between the simulator's protocol and schedulers: reads batches of events as JSON
 * lines, and replies to each with the actions that its events led to, for many gateway instances at
 * once. The names of fields and commands are those of the protocol.
 *
 * <p>Not thread-safe.
 */
public final class SimulatorAdapter {
  /**
   * The field {@code bill} is the cost in milliseconds times this factor, plus the memory in units
   * of 4 MB.
   */
  private static final long BILL_COST_FACTOR = 4096;

  private static final double BILL_MEMORY_UNIT_MB = 4;

  /** Outcomes of attempts by their names in the protocol. */
  private static final Map<String, AttemptOutcome> OUTCOMES =
      Map.of(
          "S",
          AttemptOutcome.SERVED,
          "E",
          AttemptOutcome.ERROR,
          "F",
          AttemptOutcome.FULL,
          "T",
          AttemptOutcome.TIMEOUT,
          "C",
          AttemptOutcome.UNREACHED,
          "R",
          AttemptOutcome.RESET,
          "X",
          AttemptOutcome.CANCELLED,
          "N",
          AttemptOutcome.NOT_SENT);

  /** States of engines by their names in the protocol. */
  private static final Map<String, EngineState> STATES =
      Map.of(
          "up", EngineState.UP, "draining", EngineState.DRAINING, "removed", EngineState.REMOVED);

  private final ObjectMapper mapper =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /** Lists of engines by the numbers under which they were defined; common to all instances. */
  private final Map<Integer, List<EngineEndpoint>> engineLists = new HashMap<>();

  private final Map<String, Instance> instances = new HashMap<>();
  private final Set<String> unknownEvents = new HashSet<>();
  private final SchedulerFactory schedulers;
  private final PrintStream err;

  /** Creates the scheduler of an instance. */
  interface SchedulerFactory {
    SchedulerEvents create(SchedulerActions actions);
  }

  /**
   * A gateway instance of the simulation.
   *
   * @param peerReports empty if instances may not exchange messages
   */
  private record Instance(
      SchedulerEvents events, ActionWriter actions, Optional<PeerReportExchange> peerReports) {}

  /** Creates an adapter that runs a {@link QueryScheduler} for each instance. */
  public SimulatorAdapter(PrintStream err) {
    this(err, QueryScheduler::new);
  }

  SimulatorAdapter(PrintStream err, SchedulerFactory schedulers) {
    this.err = err;
    this.schedulers = schedulers;
  }

  /**
   * Replies to batches until the input ends. A line that violates the protocol ends the loop with
   * one message on standard error.
   *
   * @return the exit status
   */
  public int serve(InputStream in, OutputStream out) throws IOException {
    BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    long last = -1;
    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
      JsonNode batch;
      try {
        batch = parse(line, last);
        last = batch.path("batch").asLong();
        String reply = reply(batch);
        out.write(reply.getBytes(StandardCharsets.UTF_8));
        out.flush();
      } catch (MalformedBatchException e) {
        err.println("reachloom: " + e.getMessage());
        return 1;
      }
    }
    return 0;
  }

  private JsonNode parse(String line, long last) throws MalformedBatchException {
    JsonNode batch;
    try {
      batch = mapper.readTree(line);
    } catch (JsonProcessingException e) {
      throw new MalformedBatchException(
          "the line after batch " + last + " is not one JSON value: " + e.getOriginalMessage());
    }
    if (!batch.isObject() || !batch.path("batch").isIntegralNumber()) {
      throw new MalformedBatchException(
          "the line after batch " + last + " is not an object with an integer in 'batch'");
    }
    String name = "batch " + batch.path("batch").asLong() + ": ";
    if (!batch.path("moment").isIntegralNumber()) {
      throw new MalformedBatchException(name + "'moment' is not an integer");
    }
    if (!batch.path("items").isArray()) {
      throw new MalformedBatchException(name + "'items' is not an array");
    }
    return batch;
  }

  private String reply(JsonNode batch) throws IOException, MalformedBatchException {
    long nowNanos = batch.path("moment").asLong();
    long index = batch.path("batch").asLong();
    StringWriter text = new StringWriter();
    try (JsonGenerator out = mapper.createGenerator(text)) {
      out.writeStartObject();
      out.writeNumberField("batch", index);
      out.writeArrayFieldStart("actions");
      for (JsonNode item : batch.path("items")) {
        try {
          dispatch(nowNanos, item, out);
        } catch (MalformedBatchException e) {
          throw new MalformedBatchException("batch " + index + ": " + e.getMessage());
        }
      }
      out.writeEndArray();
      out.writeEndObject();
    }
    return text.append('\n').toString();
  }

  private void dispatch(long nowNanos, JsonNode item, JsonGenerator reply)
      throws MalformedBatchException {
    String name = text(item, "cmd", "an item");
    if (name.equals("DefineList")) {
      engineLists.put(item.path("sheet").asInt(), entries(item));
      return;
    }
    String id = text(item, "gatewayId", name);
    if (name.equals("PowerOff")) {
      instances.remove(id);
      return;
    }
    if (name.equals("NewInstance")) {
      ActionWriter actions = new ActionWriter(id);
      instances.put(id, instance(item, schedulers.create(actions), actions));
    }
    Instance instance = instances.get(id);
    if (instance != null) {
      deliver(nowNanos, name, item, instance, reply);
    }
  }

  /**
   * Delivers an event. If the instance fails, it is removed, and the failure is reported to the
   * simulator and on standard error.
   */
  private void deliver(
      long nowNanos, String name, JsonNode item, Instance instance, JsonGenerator reply)
      throws MalformedBatchException {
    instance.actions().writeTo(reply);
    try {
      deliver(nowNanos, name, item, instance);
      if (name.equals("DeadlineHit")) {
        instance.peerReports().ifPresent(reports -> reports.exchange(nowNanos));
      }
    } catch (RuntimeException e) {
      String id = item.path("gatewayId").asText();
      err.println("reachloom: instance " + id + " failed on event " + name + " and is removed");
      e.printStackTrace(err);
      instances.remove(id);
      instance.actions().bailOut(e.toString());
    }
  }

  private static Instance instance(JsonNode item, SchedulerEvents events, ActionWriter writer) {
    JsonNode info = item.path("bootInfo");
    if (!info.path("limits").path("peers").asBoolean()) {
      return new Instance(events, writer, Optional.empty());
    }
    PeerReportExchange peerReports =
        new PeerReportExchange(
            events,
            writer,
            info.path("selfIndex").asInt(),
            info.path("balancers").asInt(),
            info.path("deductions").path("peer").asDouble(),
            item.path("entropy").asLong());
    return new Instance(events, writer, Optional.of(peerReports));
  }

  private void deliver(long nowNanos, String name, JsonNode item, Instance instance)
      throws MalformedBatchException {
    SchedulerEvents events = instance.events();
    switch (name) {
      case "NewInstance" ->
          events.onStart(
              nowNanos,
              item.path("entropy").asLong(),
              SchedulerSettingsReader.read(item.path("bootInfo")));
      case "BackendsChanged" -> engines(nowNanos, item, instance);
      case "Order" -> events.onQuery(nowNanos, query(item, name));
      case "Started" ->
          events.onStreaming(nowNanos, text(item, "handle", name), item.path("sendNo").asInt());
      case "Progress" ->
          events.onProgress(
              nowNanos,
              new ProgressReport(
                  text(item, "handle", name),
                  item.path("sendNo").asInt(),
                  item.path("node").asText(),
                  progressKind(item),
                  item.path("amount").asDouble()));
      case "Finished" -> {
        AttemptResult result = attemptResult(item, name);
        instance.peerReports().ifPresent(reports -> reports.onAttemptEnded(nowNanos, result));
        events.onAttemptEnded(nowNanos, result);
      }
      case "Left" -> events.onClientGone(nowNanos, text(item, "handle", name));
      case "DeadlineHit" -> events.onTimer(nowNanos, item.path("nonce").asLong());
      case "ProbeResult" ->
          events.onHealthCheck(
              nowNanos,
              text(item, "node", name),
              "S".equals(item.path("ending").asText()),
              report(item.path("telemetry")));
      case "NeighbourSays" -> receive(nowNanos, item, instance);
      default -> {
        if (unknownEvents.add(name)) {
          err.println("reachloom: event '" + name + "' is not known and skipped");
        }
      }
    }
  }

  /** Delivers a message of another instance. */
  private static void receive(long nowNanos, JsonNode item, Instance instance) {
    if (instance.peerReports().isEmpty()) {
      return;
    }
    try {
      byte[] message = item.path("raw").binaryValue();
      instance.peerReports().get().onMessage(nowNanos, item.path("neighbour").asInt(), message);
    } catch (IOException e) {
      throw new IllegalArgumentException("'raw' is not base64", e);
    }
  }

  private void engines(long nowNanos, JsonNode item, Instance instance)
      throws MalformedBatchException {
    String how = text(item, "how", "BackendsChanged");
    if (how.equals("unavailable")) {
      instance.events().onEndpointsUnavailable(nowNanos);
      return;
    }
    List<EngineEndpoint> entries = engineLists.get(item.path("sheet").asInt());
    if (entries == null) {
      throw new MalformedBatchException("list " + item.path("sheet") + " is not defined");
    }
    boolean complete = !how.equals("update");
    instance.peerReports().ifPresent(reports -> reports.onEndpoints(complete, entries));
    instance.events().onEndpoints(nowNanos, complete, entries);
  }

  private static List<EngineEndpoint> entries(JsonNode list) throws MalformedBatchException {
    List<EngineEndpoint> read = new ArrayList<>();
    for (JsonNode host : list.path("hosts")) {
      // An unknown state counts as draining, so that the engine gets no new queries.
      read.add(
          new EngineEndpoint(
              text(host, "node", "a list entry"),
              STATES.getOrDefault(host.path("state").asText("up"), EngineState.DRAINING),
              host.path("type").asInt(),
              host.path("rackZone").asInt(),
              host.path("bay").asInt(),
              host.path("rating").asDouble(1),
              host.path("since").asLong()));
    }
    return read;
  }

  private static Query query(JsonNode item, String name) throws MalformedBatchException {
    JsonNode key = item.path("relation");
    return new Query(
        text(item, "handle", name),
        item.path("qos").asInt(),
        item.path("billing").asInt(),
        key.isTextual() ? key.asText() : null,
        item.path("patienceLeft").asLong(),
        item.path("expected").asLong(),
        item.path("wantMb").asDouble(),
        item.path("dataGroup").asInt(-1),
        item.path("againByClient").asBoolean());
  }

  private static AttemptResult attemptResult(JsonNode item, String name)
      throws MalformedBatchException {
    long bill = item.path("bill").asLong();
    // An unknown ending counts as an error, after which the attempt may have run.
    return new AttemptResult(
        text(item, "handle", name),
        item.path("sendNo").asInt(),
        item.path("node").asText(),
        OUTCOMES.getOrDefault(item.path("ending").asText(), AttemptOutcome.ERROR),
        item.path("spent").asLong(),
        item.path("noMore").asBoolean(),
        bill / BILL_COST_FACTOR,
        bill % BILL_COST_FACTOR * BILL_MEMORY_UNIT_MB,
        report(item.path("telemetry")));
  }

  private static ProgressKind progressKind(JsonNode item) {
    return switch (item.path("sort").asInt()) {
      case 1 -> ProgressKind.PROGRESS;
      case 2 -> ProgressKind.SPILL;
      case 3 ->
          item.path("amount").asInt() == 2 ? ProgressKind.LOAD_WAIT : ProgressKind.MEMORY_WAIT;
      default -> ProgressKind.OTHER;
    };
  }

  private static LoadReport report(JsonNode values) {
    return values.isObject()
        ? new LoadReport(
            values.path("util").asDouble(),
            values.path("queue").asDouble(),
            values.path("x0").asDouble(),
            values.path("x1").asDouble())
        : null;
  }

  private static String text(JsonNode item, String field, String where)
      throws MalformedBatchException {
    JsonNode value = item.path(field);
    if (!value.isTextual()) {
      throw new MalformedBatchException(where + " has no string in '" + field + "'");
    }
    return value.asText();
  }
}
