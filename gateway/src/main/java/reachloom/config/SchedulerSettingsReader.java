package reachloom.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import reachloom.scheduler.api.DeduplicationScope;
import reachloom.scheduler.api.EngineCapabilities;
import reachloom.scheduler.api.EngineKind;
import reachloom.scheduler.api.Idempotency;
import reachloom.scheduler.api.OvercommitPolicy;
import reachloom.scheduler.api.QueryClass;
import reachloom.scheduler.api.SchedulerLimits;
import reachloom.scheduler.api.SchedulerSettings;
import reachloom.scheduler.api.SchedulingRules;
import reachloom.scheduler.api.TenantQuota;

/**
 * Reads the settings object of a starting instance. Absent settings mean "none" or "not allowed".
 */
public final class SchedulerSettingsReader {
  private static final Map<String, Idempotency> EFFECTS =
      Map.of(
          "repeatable",
          Idempotency.IDEMPOTENT,
          "by_key",
          Idempotency.IDEMPOTENT_BY_KEY,
          "once",
          Idempotency.NOT_IDEMPOTENT);
  private static final Map<String, DeduplicationScope> SCOPES =
      Map.of(
          "all",
          DeduplicationScope.ALL,
          "zone",
          DeduplicationScope.ZONE,
          "cell",
          DeduplicationScope.CELL);
  private static final Map<String, OvercommitPolicy> OVERBOOKED =
      Map.of(
          "queue",
          OvercommitPolicy.WAIT,
          "trim",
          OvercommitPolicy.SHRINK,
          "swap",
          OvercommitPolicy.PAGE);

  private SchedulerSettingsReader() {}

  /**
   * The settings in that object, or what is wrong with them: a reference to a kind or zone not
   * listed.
   */
  public static SchedulerSettings readChecked(JsonNode root) throws ConfigException {
    int index = 0;
    for (JsonNode c : root.path("classes")) {
      String where = "settings.classes[" + index++ + "].";
      references(c, "allowedOn", root.path("kinds").size(), where);
      references(c, "runsIn", root.path("zones").size(), where);
      if (c.path("giveUp").asLong() <= 0) {
        throw new ConfigException(where + "giveUp: is not a number above 0");
      }
    }
    return read(root);
  }

  private static void references(JsonNode c, String key, int size, String where)
      throws ConfigException {
    for (JsonNode place : c.path(key)) {
      if (!place.isIntegralNumber() || place.asInt() < 0 || place.asInt() >= size) {
        throw new ConfigException(where + key + ": " + place + " is not in the settings' list");
      }
    }
  }

  /** The settings in that object. */
  public static SchedulerSettings read(JsonNode root) {
    JsonNode special = root.path("specifics");
    JsonNode prices = root.path("deductions");
    return new SchedulerSettings(
        Math.max(1, root.path("balancers").asInt()),
        root.path("selfIndex").asInt(-1),
        root.path("zone").asInt(),
        "subscribe".equals(root.path("discovery").asText()),
        root.path("tick").asLong(),
        root.path("overShareWorth").asDouble(1),
        prices.path("crossZone").asDouble(),
        prices.path("probe").asDouble(),
        prices.path("waste").asDouble(),
        classes(root.path("classes"), special),
        kinds(root, special),
        tenants(root.path("orgs")),
        limits(root.path("limits")),
        rules(root.path("contract")),
        traits(root, special));
  }

  private static List<QueryClass> classes(JsonNode classes, JsonNode special) {
    List<QueryClass> read = new ArrayList<>();
    for (JsonNode c : classes) {
      int i = read.size();
      // An effect or scope not known here reads as the strictest one.
      read.add(
          new QueryClass(
              c.path("goalTime").asLong(),
              c.path("aimStretch").asDouble(),
              c.path("giveUp").asLong(),
              c.path("worth").asDouble(),
              c.path("lateValue").asDouble(),
              EFFECTS.getOrDefault(c.path("effect").asText(), Idempotency.NOT_IDEMPOTENT),
              SCOPES.getOrDefault(c.path("dedupScope").asText(), DeduplicationScope.CELL),
              c.path("keyTtl").asLong(),
              c.path("fifoByKey").asBoolean(),
              c.path("stream").asBoolean(),
              integers(c.path("allowedOn")),
              integers(c.path("runsIn")),
              Math.max(1, special.path("widthByClass").path(i).asInt(1)),
              special.path("classLoad").path(i).asBoolean(),
              special.path("yieldsToLoads").path(i).asBoolean()));
    }
    return List.copyOf(read);
  }

  private static List<Integer> integers(JsonNode values) {
    List<Integer> read = new ArrayList<>();
    values.forEach(v -> read.add(v.asInt()));
    return List.copyOf(read);
  }

  private static List<EngineKind> kinds(JsonNode root, JsonNode special) {
    int count = Math.max(root.path("kinds").size(), special.path("cpuOfKind").size());
    List<EngineKind> read = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      read.add(
          new EngineKind(
              special.path("cpuOfKind").path(i).asInt(),
              special.path("ramOfKindMb").path(i).asDouble()));
    }
    return List.copyOf(read);
  }

  private static List<TenantQuota> tenants(JsonNode orgs) {
    List<TenantQuota> read = new ArrayList<>();
    orgs.forEach(o -> read.add(new TenantQuota(o.path("quotaPerS").asDouble())));
    return List.copyOf(read);
  }

  private static SchedulerLimits limits(JsonNode limits) {
    return new SchedulerLimits(
        limits.path("maxAttempts").asInt(Integer.MAX_VALUE),
        limits.path("mayCancel").asBoolean(),
        limits.path("probes").asBoolean(),
        limits.path("secondCopies").asBoolean(),
        limits.path("retryAfter").asBoolean(),
        limits.path("maxRetryAfter").asLong(Long.MAX_VALUE));
  }

  private static SchedulingRules rules(JsonNode rules) {
    return new SchedulingRules(
        rules.path("graceToAnswer").asLong(),
        rules.path("coldFrom").asDouble(),
        rules.path("cold").asLong(),
        rules.path("fallMultiple").asDouble(),
        rules.path("fall").asLong(),
        rules.path("orderSettle").asLong(),
        rules.path("lookBack").asLong(),
        rules.path("minExtra").asDouble(),
        rules.path("extraPerRequest").asDouble());
  }

  private static EngineCapabilities traits(JsonNode root, JsonNode special) {
    String via = root.path("stats").path("via").asText();
    return new EngineCapabilities(
        special.path("grants").asBoolean(),
        special.path("takesPriority").asBoolean(),
        "pull".equals(via) || "piggyback".equals(via),
        special.path("notePeriod").asLong(),
        special.path("largestShare").asDouble(1),
        OVERBOOKED.getOrDefault(special.path("overbooked").asText(), OvercommitPolicy.WAIT));
  }
}
