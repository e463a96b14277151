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

/** The simulator's wire: batches of events in, one reply each out, for many instances at once. */
public final class SimulatorAdapter {
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
  private static final Map<String, EngineState> STATES =
      Map.of(
          "up", EngineState.UP, "draining", EngineState.DRAINING, "removed", EngineState.REMOVED);

  private final ObjectMapper mapper =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
  private final Map<Integer, List<EngineEndpoint>> sheets = new HashMap<>();
  private final Map<String, Instance> instances = new HashMap<>();
  private final Set<String> unknownEvents = new HashSet<>();
  private final Factory factory;
  private final PrintStream err;

  /** Makes the decision module of an instance. */
  interface Factory {
    SchedulerEvents create(SchedulerActions actions);
  }

  /** Neighbours are null where instances may not talk. */
  private record Instance(
      SchedulerEvents events, ActionWriter actions, PeerReportExchange neighbours) {}

  /** A link whose instances each hold a {@link QueryScheduler}. */
  public SimulatorAdapter(PrintStream err) {
    this(err, QueryScheduler::new);
  }

  SimulatorAdapter(PrintStream err, Factory factory) {
    this.err = err;
    this.factory = factory;
  }

  /** Answers batches until the input ends; returns the exit status. */
  public int serve(InputStream in, OutputStream out) throws IOException {
    BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    long last = -1;
    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
      JsonNode batch;
      try {
        batch = parse(line, last);
        last = batch.path("batch").asLong();
        String reply = answer(batch);
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
          "the line after batch " + last + " is no object with a whole number in 'batch'");
    }
    String name = "batch " + batch.path("batch").asLong() + ": ";
    if (!batch.path("moment").isIntegralNumber()) {
      throw new MalformedBatchException(name + "'moment' is not a whole number");
    }
    if (!batch.path("items").isArray()) {
      throw new MalformedBatchException(name + "'items' is not an array");
    }
    return batch;
  }

  private String answer(JsonNode batch) throws IOException, MalformedBatchException {
    long now = batch.path("moment").asLong();
    long index = batch.path("batch").asLong();
    StringWriter text = new StringWriter();
    try (JsonGenerator reply = mapper.createGenerator(text)) {
      reply.writeStartObject();
      reply.writeNumberField("batch", index);
      reply.writeArrayFieldStart("actions");
      for (JsonNode item : batch.path("items")) {
        try {
          dispatch(now, item, reply);
        } catch (MalformedBatchException e) {
          throw new MalformedBatchException("batch " + index + ": " + e.getMessage());
        }
      }
      reply.writeEndArray();
      reply.writeEndObject();
    }
    return text.append('\n').toString();
  }

  private void dispatch(long now, JsonNode item, JsonGenerator reply)
      throws MalformedBatchException {
    String name = text(item, "cmd", "an item");
    if (name.equals("DefineList")) {
      sheets.put(item.path("sheet").asInt(), entries(item));
      return;
    }
    String id = text(item, "gatewayId", name);
    Instance instance = instances.get(id);
    if (name.equals("PowerOff")) {
      instances.remove(id);
      return;
    }
    if (name.equals("NewInstance")) {
      ActionWriter writer = new ActionWriter(id);
      instance = instance(item, factory.create(writer), writer);
      instances.put(id, instance);
    }
    if (instance == null) {
      return;
    }
    instance.actions().writeTo(reply);
    try {
      deliver(now, name, item, instance.events(), instance.neighbours());
      if (instance.neighbours() != null && name.equals("DeadlineHit")) {
        instance.neighbours().look(now);
      }
    } catch (RuntimeException e) {
      err.println("reachloom: " + id + " failed on " + name);
      e.printStackTrace(err);
      instances.remove(id);
      instance.actions().bailOut(e.toString());
    }
  }

  private static Instance instance(JsonNode item, SchedulerEvents events, ActionWriter writer) {
    JsonNode info = item.path("bootInfo");
    PeerReportExchange others =
        !info.path("limits").path("peers").asBoolean()
            ? null
            : new PeerReportExchange(
                events,
                writer,
                info.path("selfIndex").asInt(),
                info.path("balancers").asInt(),
                info.path("deductions").path("peer").asDouble(),
                item.path("entropy").asLong());
    return new Instance(events, writer, others);
  }

  private void deliver(
      long now, String name, JsonNode item, SchedulerEvents events, PeerReportExchange others)
      throws MalformedBatchException {
    switch (name) {
      case "NewInstance" ->
          events.onStart(
              now,
              item.path("entropy").asLong(),
              SchedulerSettingsReader.read(item.path("bootInfo")));
      case "BackendsChanged" -> engines(now, item, events, others);
      case "Order" -> events.onQuery(now, query(item, name));
      case "Started" ->
          events.onStreaming(now, text(item, "handle", name), item.path("sendNo").asInt());
      case "Progress" ->
          events.onProgress(
              now,
              new ProgressReport(
                  text(item, "handle", name),
                  item.path("sendNo").asInt(),
                  item.path("node").asText(),
                  noteKind(item),
                  item.path("amount").asDouble()));
      case "Finished" -> {
        AttemptResult end = attemptEnd(item, name);
        if (others != null) {
          others.ended(now, end);
        }
        events.onAttemptEnded(now, end);
      }
      case "Left" -> events.onClientGone(now, text(item, "handle", name));
      case "DeadlineHit" -> events.onTimer(now, item.path("nonce").asLong());
      case "ProbeResult" ->
          events.onHealthCheck(
              now,
              text(item, "node", name),
              "S".equals(item.path("ending").asText()),
              report(item.path("telemetry")));
      case "NeighbourSays" -> neighbourSays(now, item, others);
      default -> {
        if (unknownEvents.add(name)) {
          err.println("reachloom: event '" + name + "' is not known and skipped");
        }
      }
    }
  }

  private static void neighbourSays(long now, JsonNode item, PeerReportExchange others) {
    try {
      if (others != null) {
        others.heard(now, item.path("neighbour").asInt(), item.path("raw").binaryValue());
      }
    } catch (IOException e) {
      throw new IllegalArgumentException("'raw' is not base64", e);
    }
  }

  private void engines(long now, JsonNode item, SchedulerEvents events, PeerReportExchange others)
      throws MalformedBatchException {
    String how = text(item, "how", "BackendsChanged");
    if (how.equals("unavailable")) {
      events.onEndpointsUnavailable(now);
      return;
    }
    List<EngineEndpoint> entries = sheets.get(item.path("sheet").asInt());
    if (entries == null) {
      throw new MalformedBatchException("list " + item.path("sheet") + " was never defined");
    }
    if (others != null) {
      others.engines(!how.equals("update"), entries);
    }
    events.onEndpoints(now, !how.equals("update"), entries);
  }

  private static List<EngineEndpoint> entries(JsonNode list) throws MalformedBatchException {
    List<EngineEndpoint> read = new ArrayList<>();
    for (JsonNode host : list.path("hosts")) {
      // A state not known here reads as draining: nothing new is sent.
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

  private static AttemptResult attemptEnd(JsonNode item, String name)
      throws MalformedBatchException {
    long bill = item.path("bill").asLong();
    // An ending not known here reads as one that may have run.
    return new AttemptResult(
        text(item, "handle", name),
        item.path("sendNo").asInt(),
        item.path("node").asText(),
        OUTCOMES.getOrDefault(item.path("ending").asText(), AttemptOutcome.ERROR),
        item.path("spent").asLong(),
        item.path("noMore").asBoolean(),
        bill / 4096,
        bill % 4096 * 4.0,
        report(item.path("telemetry")));
  }

  private static ProgressKind noteKind(JsonNode item) {
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
      throw new MalformedBatchException(where + " has no text in '" + field + "'");
    }
    return value.asText();
  }
}
