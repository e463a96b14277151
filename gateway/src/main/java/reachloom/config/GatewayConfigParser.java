package reachloom.config;

import static reachloom.config.JsonFields.array;
import static reachloom.config.JsonFields.object;
import static reachloom.config.JsonFields.positive;
import static reachloom.config.JsonFields.positiveCount;
import static reachloom.config.JsonFields.text;
import static reachloom.config.JsonFields.texts;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reachloom.config.GatewayConfig.Names;
import reachloom.config.GatewayConfig.Transport;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;

/**
 * Reads a gateway's configuration from JSON. Only this class maps the keys of that file to the
 * names of the code.
 */
final class GatewayConfigParser {
  private static final long NANOS_PER_MILLISECOND = 1_000_000;
  private static final int DEFAULT_MAX_SOCKETS = 1024;
  private static final int DEFAULT_MAX_STREAMS_PER_CONNECTION = 100;
  private static final int DEFAULT_MAX_OPEN_REQUESTS = 20_000;
  private static final long DEFAULT_DIAL_TIMEOUT_NANOS = 250 * NANOS_PER_MILLISECOND;
  private static final long DEFAULT_KEEPALIVE_NANOS = 30_000 * NANOS_PER_MILLISECOND;
  private static final int MAX_PORT = 65_535;
  private static final int HEX_RADIX = 16;
  private static final Pattern ADDRESS = Pattern.compile("((?:\\d{1,3}\\.){3}\\d{1,3}):(\\d{1,5})");
  private static final Pattern ENGINE_NAME = Pattern.compile("s-[0-9a-f]{8}");
  private static final Map<String, EngineState> ENGINE_STATES =
      Map.of(
          "in_service",
          EngineState.UP,
          "terminating",
          EngineState.DRAINING,
          "terminated",
          EngineState.REMOVED);

  private GatewayConfigParser() {}

  /**
   * Parses the configuration in a JSON document.
   *
   * @param environment may set the name and the listen address, which then override those of the
   *     document
   */
  static GatewayConfig parse(JsonNode root, Map<String, String> environment)
      throws ConfigException {
    object(root, "the configuration");
    JsonNode settings = object(root.path("settings"), "settings");
    Names names = names(settings);
    Transport transport = transport(settings.path("limits"));
    JsonNode known = object(root.path("known"), "known");
    Map<String, EngineMember> engines = new LinkedHashMap<>();
    long lastEventNumber = foldEvents(known, names, engines);
    return new GatewayConfig(
        environment.getOrDefault("LB_NAME", text(root, "name")),
        address(environment.getOrDefault("LB_LISTEN", text(root, "listen")), "listen"),
        seed(text(root, "seed")),
        positiveCount(root.path("limits"), "limits", "sockets", DEFAULT_MAX_SOCKETS),
        address(text(root, "changelog"), "changelog"),
        lastEventNumber,
        List.copyOf(engines.values()),
        SchedulerSettingsReader.readChecked(settings),
        names,
        transport);
  }

  private static Transport transport(JsonNode limits) throws ConfigException {
    String parent = "settings.limits";
    return new Transport(
        positive(limits, parent, "dialTimeout", DEFAULT_DIAL_TIMEOUT_NANOS),
        positive(limits, parent, "keepalive", DEFAULT_KEEPALIVE_NANOS),
        positiveCount(limits, parent, "streamsPerConn", DEFAULT_MAX_STREAMS_PER_CONNECTION),
        positiveCount(limits, parent, "maxOpen", DEFAULT_MAX_OPEN_REQUESTS));
  }

  private static Names names(JsonNode settings) throws ConfigException {
    List<String> classes = new ArrayList<>();
    for (JsonNode queryClass : array(settings.path("classes"), "settings.classes")) {
      classes.add(text(queryClass, "name", "settings.classes[" + classes.size() + "].name"));
    }
    if (classes.isEmpty()) {
      throw new ConfigException("settings.classes", "names no class");
    }
    List<String> tenants = new ArrayList<>();
    for (JsonNode tenant : settings.path("orgs")) {
      tenants.add(text(tenant, "name", "settings.orgs[" + tenants.size() + "].name"));
    }
    return new Names(
        List.copyOf(classes),
        List.copyOf(tenants),
        texts(settings, "zones"),
        texts(settings, "kinds"),
        texts(settings.path("stats"), "names"));
  }

  /**
   * Applies the change log events of the configuration to an empty list. Returns the number of the
   * last event, or {@code known.seq} if that is higher.
   */
  private static long foldEvents(JsonNode known, Names names, Map<String, EngineMember> engines)
      throws ConfigException {
    long last = 0;
    int index = 0;
    for (JsonNode event : array(known.path("results"), "known.results")) {
      foldEvent(event, "known.results[" + index++ + "].fleet", names, engines);
      last = Math.max(last, event.path("seq").asLong());
    }
    engines.values().removeIf(engine -> engine.endpoint().state() == EngineState.REMOVED);
    JsonNode number = known.path("seq");
    if (!number.isIntegralNumber() || number.asLong() < 0) {
      throw new ConfigException("known.seq", "is not a whole number from 0 up");
    }
    return Math.max(last, number.asLong());
  }

  private static void foldEvent(
      JsonNode event, String path, Names names, Map<String, EngineMember> engines)
      throws ConfigException {
    JsonNode fleet = object(event.path("fleet"), path);
    if (fleet.path("whole").asBoolean()) {
      engines.clear();
    }
    int index = 0;
    for (JsonNode host : array(fleet.path("hosts"), path + ".hosts")) {
      EngineMember engine = engine(host, names, path + ".hosts[" + index++ + "]");
      engines.remove(engine.endpoint().name()); // moves the engine to the end of the list
      engines.put(engine.endpoint().name(), engine);
    }
  }

  private static EngineMember engine(JsonNode host, Names names, String path)
      throws ConfigException {
    String name = text(host, "host", path + ".host");
    if (!ENGINE_NAME.matcher(name).matches()) {
      throw new ConfigException(path + ".host", "'" + name + "' is not s- and 8 hex digits");
    }
    // An unknown state counts as draining, so that the engine gets no new queries.
    EngineState state =
        ENGINE_STATES.getOrDefault(host.path("health").asText(), EngineState.DRAINING);
    EngineEndpoint endpoint =
        new EngineEndpoint(
            name,
            state,
            indexOf(host, "class", names.kinds(), path),
            indexOf(host, "site", names.zones(), path),
            host.path("block").asInt(),
            host.path("share").asDouble(1),
            host.path("born_ms").asLong() * NANOS_PER_MILLISECOND);
    return new EngineMember(endpoint, address(text(host, "dial", path + ".dial"), path + ".dial"));
  }

  private static int indexOf(JsonNode host, String key, List<String> names, String path)
      throws ConfigException {
    String name = host.path(key).asText();
    int index = names.indexOf(name);
    if (index < 0) {
      throw new ConfigException(path + "." + key, "'" + name + "' is not in the settings");
    }
    return index;
  }

  private static long seed(String digits) throws ConfigException {
    try {
      return Long.parseUnsignedLong(digits, HEX_RADIX);
    } catch (NumberFormatException e) {
      throw new ConfigException("seed", "'" + digits + "' is not a number of 16 hex digits");
    }
  }

  /** Parses an address such as {@code 10.0.0.1:4100}; host names are not resolved. */
  static InetSocketAddress address(String text, String location) throws ConfigException {
    Matcher matcher = ADDRESS.matcher(text);
    int port = matcher.matches() ? Integer.parseInt(matcher.group(2)) : 0;
    if (port < 1 || port > MAX_PORT) {
      throw invalidAddress(text, location);
    }
    try {
      // The host consists of digits and dots, so that getByName does not query DNS.
      return new InetSocketAddress(InetAddress.getByName(matcher.group(1)), port);
    } catch (UnknownHostException e) {
      throw invalidAddress(text, location);
    }
  }

  private static ConfigException invalidAddress(String text, String location) {
    return new ConfigException(
        location, "'" + text + "' is not an address of the form 10.0.0.1:4100");
  }
}
