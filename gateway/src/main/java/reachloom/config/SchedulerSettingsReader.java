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
 * Reads the settings of the scheduler from JSON. Only this class maps the keys of that object to
 * the names of the code. A setting that is absent means "none" or "not allowed".
 */
public final class SchedulerSettingsReader {
  private static final Map<String, Idempotency> IDEMPOTENCIES =
      Map.of(
          "repeatable",
          Idempotency.IDEMPOTENT,
          "by_key",
          Idempotency.IDEMPOTENT_BY_KEY,
          "once",
          Idempotency.NOT_IDEMPOTENT);
  private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPES =
      Map.of(
          "all",
          DeduplicationScope.ALL,
          "zone",
          DeduplicationScope.ZONE,
          "cell",
          DeduplicationScope.CELL);
  private static final Map<String, OvercommitPolicy> OVERCOMMIT_POLICIES =
      Map.of(
          "queue",
          OvercommitPolicy.WAIT,
          "trim",
          OvercommitPolicy.SHRINK,
          "swap",
          OvercommitPolicy.PAGE);

  private SchedulerSettingsReader() {}

  /**
   * Reads settings, and validates their references to kinds and zones.
   *
   * @throws ConfigException if a class refers to a kind or zone that is not listed, or has no
   *     deadline
   */
  public static SchedulerSettings readChecked(JsonNode root) throws ConfigException {
    int index = 0;
    for (JsonNode queryClass : root.path("classes")) {
      String path = "settings.classes[" + index++ + "].";
      checkReferences(queryClass, "allowedOn", root.path("kinds").size(), path);
      checkReferences(queryClass, "runsIn", root.path("zones").size(), path);
      if (queryClass.path("giveUp").asLong() <= 0) {
        throw new ConfigException(path + "giveUp", "is not a number above 0");
      }
    }
    return read(root);
  }

  private static void checkReferences(JsonNode queryClass, String key, int listed, String path)
      throws ConfigException {
    for (JsonNode reference : queryClass.path(key)) {
      if (!reference.isIntegralNumber() || reference.asInt() < 0 || reference.asInt() >= listed) {
        throw new ConfigException(path + key, reference + " is not in the settings' list");
      }
    }
  }

  /** Reads settings without validation. */
  public static SchedulerSettings read(JsonNode root) {
    JsonNode specifics = root.path("specifics");
    JsonNode deductions = root.path("deductions");
    return new SchedulerSettings(
        Math.max(1, root.path("balancers").asInt()),
        root.path("selfIndex").asInt(-1),
        root.path("zone").asInt(),
        "subscribe".equals(root.path("discovery").asText()),
        root.path("tick").asLong(),
        root.path("overShareWorth").asDouble(1),
        deductions.path("crossZone").asDouble(),
        deductions.path("probe").asDouble(),
        deductions.path("waste").asDouble(),
        classes(root.path("classes"), specifics),
        kinds(root, specifics),
        tenants(root.path("orgs")),
        limits(root.path("limits")),
        rules(root.path("contract")),
        capabilities(root, specifics));
  }

  private static List<QueryClass> classes(JsonNode classes, JsonNode specifics) {
    List<QueryClass> read = new ArrayList<>();
    for (JsonNode queryClass : classes) {
      int index = read.size();
      // An unknown effect or scope counts as the strictest one.
      read.add(
          new QueryClass(
              queryClass.path("goalTime").asLong(),
              queryClass.path("aimStretch").asDouble(),
              queryClass.path("giveUp").asLong(),
              queryClass.path("worth").asDouble(),
              queryClass.path("lateValue").asDouble(),
              IDEMPOTENCIES.getOrDefault(
                  queryClass.path("effect").asText(), Idempotency.NOT_IDEMPOTENT),
              DEDUPLICATION_SCOPES.getOrDefault(
                  queryClass.path("dedupScope").asText(), DeduplicationScope.CELL),
              queryClass.path("keyTtl").asLong(),
              queryClass.path("fifoByKey").asBoolean(),
              queryClass.path("stream").asBoolean(),
              integers(queryClass.path("allowedOn")),
              integers(queryClass.path("runsIn")),
              Math.max(1, specifics.path("widthByClass").path(index).asInt(1)),
              specifics.path("classLoad").path(index).asBoolean(),
              specifics.path("yieldsToLoads").path(index).asBoolean()));
    }
    return List.copyOf(read);
  }

  private static List<Integer> integers(JsonNode values) {
    List<Integer> read = new ArrayList<>();
    values.forEach(value -> read.add(value.asInt()));
    return List.copyOf(read);
  }

  private static List<EngineKind> kinds(JsonNode root, JsonNode specifics) {
    int count = Math.max(root.path("kinds").size(), specifics.path("cpuOfKind").size());
    List<EngineKind> read = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      read.add(
          new EngineKind(
              specifics.path("cpuOfKind").path(i).asInt(),
              specifics.path("ramOfKindMb").path(i).asDouble()));
    }
    return List.copyOf(read);
  }

  private static List<TenantQuota> tenants(JsonNode orgs) {
    List<TenantQuota> read = new ArrayList<>();
    orgs.forEach(tenant -> read.add(new TenantQuota(tenant.path("quotaPerS").asDouble())));
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

  private static EngineCapabilities capabilities(JsonNode root, JsonNode specifics) {
    String via = root.path("stats").path("via").asText();
    return new EngineCapabilities(
        specifics.path("grants").asBoolean(),
        specifics.path("takesPriority").asBoolean(),
        "pull".equals(via) || "piggyback".equals(via),
        specifics.path("notePeriod").asLong(),
        specifics.path("largestShare").asDouble(1),
        OVERCOMMIT_POLICIES.getOrDefault(
            specifics.path("overbooked").asText(), OvercommitPolicy.WAIT));
  }
}
