package reachloom.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;
import reachloom.scheduler.api.SchedulerSettings;

/**
 * What a gateway on sockets is told at its start: where it listens, its limits, the engines known
 * so far, and the settings that the decisions are made under.
 */
public record GatewayConfig(
    String name,
    InetSocketAddress listen,
    long seed,
    int maxSockets,
    InetSocketAddress changeLog,
    long lastEventNumber,
    List<EngineMember> knownEngines,
    SchedulerSettings settings,
    Names names,
    Transport transport) {
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final int DEFAULT_SOCKETS = 1024;
  private static final int DEFAULT_STREAMS = 100;
  private static final int DEFAULT_MAX_OPEN = 20_000;
  private static final long DEFAULT_DIAL = 250 * MILLISECOND;
  private static final long DEFAULT_KEEPALIVE = 30_000 * MILLISECOND;
  private static final int MAX_PORT = 65_535;
  private static final double THOUSANDTHS = 1e3;
  private static final Pattern ADDRESS = Pattern.compile("((?:\\d{1,3}\\.){3}\\d{1,3}):(\\d{1,5})");
  private static final Pattern ENGINE = Pattern.compile("s-[0-9a-f]{8}");
  private static final Map<String, EngineState> STATES =
      Map.of(
          "in_service",
          EngineState.UP,
          "terminating",
          EngineState.DRAINING,
          "terminated",
          EngineState.REMOVED);

  /**
   * Names by which the wire calls what the settings number; a name's place in its list is its
   * number.
   */
  public record Names(
      List<String> classes,
      List<String> tenants,
      List<String> zones,
      List<String> kinds,
      List<String> reportFields) {}

  /** Figures of connections, in nanoseconds and counts. */
  public record Transport(
      long dialTimeoutNanos,
      long keepaliveNanos,
      int maxStreamsPerConnection,
      int maxOpenRequests) {}

  /**
   * The keys whose values in a configuration read anew differ and can't change while the gateway
   * runs.
   */
  public List<String> changesNeedingRestart(GatewayConfig next) {
    List<String> keys = new ArrayList<>();
    difference(keys, "name", name, next.name);
    difference(keys, "listen", listen, next.listen);
    difference(keys, "limits.sockets", maxSockets, next.maxSockets);
    boolean settingsAgree = settings.equals(next.settings) && names.equals(next.names);
    difference(keys, "settings", settingsAgree && transport.equals(next.transport), true);
    return keys;
  }

  private static void difference(List<String> keys, String key, Object value, Object next) {
    if (!value.equals(next)) {
      keys.add(key);
    }
  }

  /**
   * Reads the file that the environment names, with name and address from there too where it gives
   * them.
   */
  public static GatewayConfig fromEnvironment(Map<String, String> environment)
      throws ConfigException {
    return fromEnvironment(environment, UnaryOperator.identity());
  }

  /** The same with what is laid over the file's content before it is looked at. */
  public static GatewayConfig fromEnvironment(
      Map<String, String> environment, UnaryOperator<JsonNode> over) throws ConfigException {
    String file = environment.get("LB_CONFIG");
    if (file == null || file.isBlank()) {
      throw new ConfigException("LB_CONFIG: the environment does not name the configuration file");
    }
    return fromFile(Path.of(file), environment, over);
  }

  /** Reads and checks a configuration file. */
  public static GatewayConfig fromFile(Path file, Map<String, String> environment)
      throws ConfigException {
    return fromFile(file, environment, UnaryOperator.identity());
  }

  private static GatewayConfig fromFile(
      Path file, Map<String, String> environment, UnaryOperator<JsonNode> over)
      throws ConfigException {
    byte[] text;
    try {
      text = Files.readAllBytes(file);
    } catch (IOException e) {
      throw new ConfigException(file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
    }
    try {
      return parse(over.apply(new ObjectMapper().readTree(text)), environment);
    } catch (JsonProcessingException e) {
      throw new ConfigException(file + ": is not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new ConfigException(file + ": is not JSON: " + e.getMessage());
    }
  }

  /** A made-up configuration that listens at a free loopback address, to rehearse with. */
  public static GatewayConfig sample() throws ConfigException {
    try (InputStream text = GatewayConfig.class.getResourceAsStream("sample.json");
        ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String listen = free.getInetAddress().getHostAddress() + ":" + free.getLocalPort();
      return parse(new ObjectMapper().readTree(text), Map.of("LB_LISTEN", listen));
    } catch (IOException e) {
      throw new ConfigException("the sample: " + e.getMessage());
    }
  }

  static GatewayConfig parse(JsonNode root, Map<String, String> environment)
      throws ConfigException {
    object(root, "the configuration");
    JsonNode settings = object(root.path("settings"), "settings");
    Names names = names(settings);
    JsonNode limits = settings.path("limits");
    Transport transport =
        new Transport(
            positive(limits, "settings.limits", "dialTimeout", DEFAULT_DIAL),
            positive(limits, "settings.limits", "keepalive", DEFAULT_KEEPALIVE),
            (int)
                Math.min(
                    Integer.MAX_VALUE,
                    positive(limits, "settings.limits", "streamsPerConn", DEFAULT_STREAMS)),
            (int)
                Math.min(
                    Integer.MAX_VALUE,
                    positive(limits, "settings.limits", "maxOpen", DEFAULT_MAX_OPEN)));
    JsonNode knownEngines = object(root.path("known"), "known");
    Map<String, EngineMember> members = new LinkedHashMap<>();
    long last = fold(knownEngines, names, members);
    return new GatewayConfig(
        environment.getOrDefault("LB_NAME", text(root, "name")),
        address(environment.getOrDefault("LB_LISTEN", text(root, "listen")), "listen"),
        seed(text(root, "seed")),
        (int)
            Math.min(
                Integer.MAX_VALUE,
                positive(root.path("limits"), "limits", "sockets", DEFAULT_SOCKETS)),
        address(text(root, "changelog"), "changelog"),
        last,
        List.copyOf(members.values()),
        SchedulerSettingsReader.readChecked(settings),
        names,
        transport);
  }

  private static Names names(JsonNode settings) throws ConfigException {
    List<String> classes = new ArrayList<>();
    for (JsonNode c : array(settings.path("classes"), "settings.classes")) {
      classes.add(text(c, "name", "settings.classes[" + classes.size() + "].name"));
    }
    if (classes.isEmpty()) {
      throw new ConfigException("settings.classes: names no class");
    }
    List<String> tenants = new ArrayList<>();
    for (JsonNode o : settings.path("orgs")) {
      tenants.add(text(o, "name", "settings.orgs[" + tenants.size() + "].name"));
    }
    return new Names(
        List.copyOf(classes),
        List.copyOf(tenants),
        texts(settings, "zones"),
        texts(settings, "kinds"),
        texts(settings.path("stats"), "names"));
  }

  /** Plays the events of the start into one list; gives the number of the last one. */
  private static long fold(JsonNode knownEngines, Names names, Map<String, EngineMember> members)
      throws ConfigException {
    long last = 0;
    int index = 0;
    for (JsonNode event : array(knownEngines.path("results"), "known.results")) {
      String where = "known.results[" + index++ + "]";
      JsonNode fleet = object(event.path("fleet"), where + ".fleet");
      if (fleet.path("whole").asBoolean()) {
        members.clear();
      }
      int place = 0;
      for (JsonNode host : array(fleet.path("hosts"), where + ".fleet.hosts")) {
        EngineMember member = member(host, names, where + ".fleet.hosts[" + place++ + "]");
        members.remove(member.endpoint().name());
        members.put(member.endpoint().name(), member);
      }
      last = Math.max(last, event.path("seq").asLong());
    }
    members.values().removeIf(m -> m.endpoint().state() == EngineState.REMOVED);
    JsonNode seq = knownEngines.path("seq");
    if (!seq.isIntegralNumber() || seq.asLong() < 0) {
      throw new ConfigException("known.seq: is not a whole number from 0 up");
    }
    return Math.max(last, seq.asLong());
  }

  private static EngineMember member(JsonNode host, Names names, String where)
      throws ConfigException {
    String id = text(host, "host", where + ".host");
    if (!ENGINE.matcher(id).matches()) {
      throw new ConfigException(where + ".host: '" + id + "' is not s- and 8 hex digits");
    }
    // A state not knownEngines here reads as draining: nothing new is sent.
    EngineState state = STATES.getOrDefault(host.path("health").asText(), EngineState.DRAINING);
    return new EngineMember(
        new EngineEndpoint(
            id,
            state,
            place(host, "class", names.kinds(), where),
            place(host, "site", names.zones(), where),
            host.path("block").asInt(),
            host.path("share").asDouble(1),
            host.path("born_ms").asLong() * MILLISECOND),
        address(text(host, "dial", where + ".dial"), where + ".dial"));
  }

  private static int place(JsonNode host, String key, List<String> list, String where)
      throws ConfigException {
    int place = list.indexOf(host.path(key).asText());
    if (place < 0) {
      throw new ConfigException(
          where + "." + key + ": '" + host.path(key).asText() + "' is not in the settings");
    }
    return place;
  }

  /** The weight that the change log writes in thousandths. */
  public static double weight(long thousandths) {
    return thousandths / THOUSANDTHS;
  }

  private static long seed(String hex) throws ConfigException {
    try {
      return Long.parseUnsignedLong(hex, 16);
    } catch (NumberFormatException e) {
      throw new ConfigException("seed: '" + hex + "' is not a number of 16 hex digits");
    }
  }

  static InetSocketAddress address(String text, String key) throws ConfigException {
    Matcher m = ADDRESS.matcher(text);
    int port = m.matches() ? Integer.parseInt(m.group(2)) : 0;
    if (port < 1 || port > MAX_PORT) {
      throw new ConfigException(
          key + ": '" + text + "' is not an address of the form 10.0.0.1:4100");
    }
    try {
      return new InetSocketAddress(
          InetAddress.getByName(m.group(1)), port); // digits only: no look-up
    } catch (UnknownHostException e) {
      throw new ConfigException(
          key + ": '" + text + "' is not an address of the form 10.0.0.1:4100");
    }
  }

  private static JsonNode object(JsonNode node, String key) throws ConfigException {
    if (!node.isObject()) {
      throw new ConfigException(
          key + ": " + (node.isMissingNode() ? "is missing" : "is not an object"));
    }
    return node;
  }

  private static JsonNode array(JsonNode node, String key) throws ConfigException {
    if (!node.isArray()) {
      throw new ConfigException(
          key + ": " + (node.isMissingNode() ? "is missing" : "is not a list"));
    }
    return node;
  }

  private static String text(JsonNode root, String key) throws ConfigException {
    return text(root, key, key);
  }

  private static String text(JsonNode node, String key, String where) throws ConfigException {
    JsonNode value = node.path(key);
    if (!value.isTextual() || value.asText().isEmpty()) {
      throw new ConfigException(
          where + ": " + (value.isMissingNode() ? "is missing" : "is not a text"));
    }
    return value.asText();
  }

  private static List<String> texts(JsonNode node, String key) {
    List<String> read = new ArrayList<>();
    node.path(key).forEach(v -> read.add(v.asText()));
    return List.copyOf(read);
  }

  private static long positive(JsonNode node, String where, String key, long standard)
      throws ConfigException {
    JsonNode value = node.path(key);
    if (value.isMissingNode() || value.isNull()) {
      return standard;
    }
    if (!value.isNumber() || value.asLong() <= 0) {
      throw new ConfigException(where + "." + key + ": is not a number above 0");
    }
    return value.asLong();
  }
}
