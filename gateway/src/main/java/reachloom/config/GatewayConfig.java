package reachloom.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import reachloom.scheduler.api.SchedulerSettings;

/**
 * The configuration that the platform hands to a gateway at its start, and again when it is to be
 * reloaded. Immutable.
 *
 * @param name the gateway's name
 * @param listen the address at which it listens for clients
 * @param seed the seed of its random numbers
 * @param maxSockets the most sockets that it may have open
 * @param changeLog the address of the change log
 * @param lastEventNumber the number of the last event of the change log that {@code knownEngines}
 *     contains
 * @param knownEngines the endpoint list as of that event
 * @param settings the settings of the scheduler
 * @param names the names of what the settings number
 * @param transport timeouts and bounds of connections
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
  private static final String FILE_VARIABLE = "LB_CONFIG";
  private static final double THOUSANDTHS = 1e3;

  /**
   * The names that the wire has for what the settings number; the index of a name is its number.
   *
   * @param classes the query classes
   * @param tenants the tenants
   * @param zones the zones
   * @param kinds the kinds of engines
   * @param reportFields the fields of a load report
   */
  public record Names(
      List<String> classes,
      List<String> tenants,
      List<String> zones,
      List<String> kinds,
      List<String> reportFields) {}

  /**
   * Timeouts and bounds of connections.
   *
   * @param dialTimeoutNanos within this time a connection is established, and a health check
   *     answered
   * @param keepaliveNanos engines close connections that have been idle for so long
   * @param maxStreamsPerConnection the most attempts at a time on a connection to an engine
   * @param maxOpenRequests the most requests that are open at a time
   */
  public record Transport(
      long dialTimeoutNanos,
      long keepaliveNanos,
      int maxStreamsPerConnection,
      int maxOpenRequests) {}

  /**
   * The keys whose values in another configuration differ, and which a running gateway does not
   * take over: it has to be restarted for them.
   */
  public List<String> changesNeedingRestart(GatewayConfig next) {
    List<String> keys = new ArrayList<>();
    addIfDifferent(keys, "name", name, next.name);
    addIfDifferent(keys, "listen", listen, next.listen);
    addIfDifferent(keys, "limits.sockets", maxSockets, next.maxSockets);
    boolean sameSettings =
        settings.equals(next.settings)
            && names.equals(next.names)
            && transport.equals(next.transport);
    addIfDifferent(keys, "settings", sameSettings, true);
    return keys;
  }

  private static void addIfDifferent(List<String> keys, String key, Object value, Object next) {
    if (!value.equals(next)) {
      keys.add(key);
    }
  }

  /**
   * Reads the file that the environment names. The environment may also give the gateway's name and
   * address, which go before those of the file.
   */
  public static GatewayConfig fromEnvironment(Map<String, String> environment)
      throws ConfigException {
    return fromEnvironment(environment, UnaryOperator.identity());
  }

  /** The same with a change, such as a revision's, applied to the document of the file first. */
  public static GatewayConfig fromEnvironment(
      Map<String, String> environment, UnaryOperator<JsonNode> change) throws ConfigException {
    String file = environment.get(FILE_VARIABLE);
    if (file == null || file.isBlank()) {
      throw new ConfigException(
          FILE_VARIABLE, "the environment does not name the configuration file");
    }
    return fromFile(Path.of(file), environment, change);
  }

  /** Reads and checks a configuration file. */
  public static GatewayConfig fromFile(Path file, Map<String, String> environment)
      throws ConfigException {
    return fromFile(file, environment, UnaryOperator.identity());
  }

  private static GatewayConfig fromFile(
      Path file, Map<String, String> environment, UnaryOperator<JsonNode> change)
      throws ConfigException {
    byte[] text;
    try {
      text = Files.readAllBytes(file);
    } catch (IOException e) {
      throw new ConfigException(
          file.toString(), "cannot be read (" + e.getClass().getSimpleName() + ")");
    }
    try {
      return parse(change.apply(new ObjectMapper().readTree(text)), environment);
    } catch (JsonProcessingException e) {
      throw new ConfigException(file.toString(), "is not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new ConfigException(file.toString(), "is not JSON: " + e.getMessage());
    }
  }

  /** A made-up configuration that listens at a free loopback address, to warm up with. */
  public static GatewayConfig sample() throws ConfigException {
    try (InputStream text = GatewayConfig.class.getResourceAsStream("sample.json");
        ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String listen = free.getInetAddress().getHostAddress() + ":" + free.getLocalPort();
      return parse(new ObjectMapper().readTree(text), Map.of("LB_LISTEN", listen));
    } catch (IOException e) {
      throw new ConfigException("the sample", e.getMessage());
    }
  }

  static GatewayConfig parse(JsonNode root, Map<String, String> environment)
      throws ConfigException {
    return GatewayConfigParser.parse(root, environment);
  }

  /** The weight of an engine that the change log writes in thousandths. */
  public static double weight(long thousandths) {
    return thousandths / THOUSANDTHS;
  }
}
