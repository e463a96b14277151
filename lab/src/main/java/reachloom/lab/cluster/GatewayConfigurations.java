package reachloom.lab.cluster;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.List;

/** Creates the settings and the configuration of the fleet's gateways, in the platform's JSON. */
public final class GatewayConfigurations {
  private static final ObjectMapper JSON = new ObjectMapper();
  static final long DIAL_TIMEOUT = 250 * ClusterPlan.MILLISECOND;

  /** Time for which idle connections to engines are kept, in nanoseconds. */
  public static final long KEEPALIVE = 30 * ClusterPlan.SECOND;

  static final long DRAIN_GRACE = 500 * ClusterPlan.MILLISECOND;
  static final long KEY_WINDOW = 12 * ClusterPlan.SECOND;
  static final int MAX_ATTEMPTS = 5;
  static final long LOOK_BACK = 10 * ClusterPlan.SECOND;
  static final double MIN_EXTRA_ATTEMPTS = 20;
  static final double EXTRA_ATTEMPTS_PER_QUERY = 0.5;
  static final List<String> KIND_NAMES = List.of("usual", "large");
  private static final double PROBE_PRICE = 0.08;
  private static final double CROSS_ZONE_PRICE = 0.015;

  private GatewayConfigurations() {}

  /** Returns the settings of a gateway. */
  public static ObjectNode settings(ClusterPlan plan, int gateway) {
    ObjectNode root = JSON.createObjectNode();
    root.put("balancers", plan.believed())
        .put("selfIndex", gateway)
        .put("zone", plan.zoneOf(gateway))
        .put("tick", 5 * ClusterPlan.MILLISECOND)
        .put("discovery", "automatic")
        .put("overShareWorth", 0.1);
    ArrayNode zones = root.putArray("zones");
    for (int z = 0; z < plan.zones(); z++) {
      zones.add(zone(z));
    }
    KIND_NAMES.forEach(root.putArray("kinds")::add);
    root.putArray("orgs").addObject().put("name", "one").put("quotaPerS", 0);
    ArrayNode classes = root.putArray("classes");
    ObjectNode special = root.putObject("specifics");
    ArrayNode widths = special.putArray("widthByClass");
    for (Workload.Kind k : Workload.KINDS) {
      classes
          .addObject()
          .put("name", k.name())
          .put("effect", k.effect())
          .put("dedupScope", "all")
          .put("giveUp", k.deadline())
          .put("goalTime", k.goalTime())
          .put("aimStretch", k.stretch())
          .put("worth", k.worth())
          .put("lateValue", 0.1)
          .put("keyTtl", KEY_WINDOW);
      widths.add(k.threads());
    }
    special.put("notePeriod", ClusterPlan.SECOND / 2).put("costInAnswers", true);
    special.putArray("cpuOfKind").add(ClusterPlan.SMALL_CORES).add(ClusterPlan.LARGE_CORES);
    special.putArray("ramOfKindMb").add(16_384).add(32_768);
    root.putObject("limits")
        .put("maxAttempts", MAX_ATTEMPTS)
        .put("mayCancel", true)
        .put("probes", true)
        .put("dialTimeout", DIAL_TIMEOUT)
        .put("keepalive", KEEPALIVE)
        .put("streamsPerConn", 100)
        .put("maxOpen", 2_000);
    root.putObject("contract")
        .put("graceToAnswer", 20 * ClusterPlan.MILLISECOND)
        .put("coldFrom", ClusterPlan.COLD_FROM)
        .put("cold", ClusterPlan.COLD_TIME)
        .put("fall", ClusterPlan.FALL_TIME)
        .put("fallMultiple", ClusterPlan.FALL_MULTIPLE)
        .put("stopSendingWithin", DRAIN_GRACE)
        .put("lookBack", LOOK_BACK)
        .put("minExtra", MIN_EXTRA_ATTEMPTS)
        .put("extraPerRequest", EXTRA_ATTEMPTS_PER_QUERY);
    root.putObject("deductions")
        .put("probe", PROBE_PRICE)
        .put("crossZone", CROSS_ZONE_PRICE)
        .put("waste", 0.08);
    ObjectNode stats = root.putObject("stats").put("via", "pull");
    List.of("util", "queue", "x0").forEach(stats.putArray("names")::add);
    return root;
  }

  static String zone(int zone) {
    return "zone-" + zone;
  }

  /**
   * Returns a complete configuration.
   *
   * @param lastEvent the number of the last event of the list that {@code hosts} includes
   * @param hosts the engines of the list at the start
   */
  static String configuration(
      ClusterPlan plan,
      int gateway,
      long seed,
      InetSocketAddress listen,
      InetSocketAddress changeLog,
      long lastEvent,
      List<ObjectNode> hosts) {
    ObjectNode root = JSON.createObjectNode();
    root.put("name", "g" + gateway)
        .put("listen", text(listen))
        .put("seed", String.format("%016x", seed))
        .put("changelog", text(changeLog));
    root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1024);
    ObjectNode known = root.putObject("known").put("seq", lastEvent);
    ObjectNode fleet =
        known.putArray("results").addObject().put("seq", lastEvent).putObject("fleet");
    fleet.put("seq", lastEvent).put("whole", true).putArray("hosts").addAll(hosts);
    root.set("settings", settings(plan, gateway));
    return root.toString();
  }

  /** Returns the configuration's entry for an engine. */
  static ObjectNode host(
      ClusterPlan plan, ClusterModel.ListEntry engine, InetSocketAddress address) {
    return JSON.createObjectNode()
        .put("host", ClusterModel.name(engine.id()))
        .put("dial", text(address))
        .put("site", zone(plan.zoneOfEngine(engine.id())))
        .put("class", KIND_NAMES.get(plan.isLarge(engine.id()) ? 1 : 0))
        .put("block", 0)
        .put("health", List.of("in_service", "terminating", "terminated").get(engine.state()))
        .put("share", 1)
        .put("born_ms", engine.startedMs());
  }

  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
