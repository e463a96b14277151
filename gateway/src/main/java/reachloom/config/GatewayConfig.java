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
 * The configuration that the platform gives to a gateway at its start and for each reload.
 * Immutable.
 *
 * @param name the gateway's name
 * @param listen the address at which it listens for clients
 * @param seed the seed of its random numbers
 * @param maxSockets the maximum number of open sockets
 * @param changeLog the address of the change log
 * @param lastEventNumber the number of the last event of the change log that is contained in {@code
 *     knownEngines}
 * @param knownEngines the endpoint list as of that event
 * @param settings the settings of the scheduler
 * @param names the names of the classes, tenants, zones, kinds and load report fields that the
 *     settings identify by index
 * @param transport timeouts and limits of connections
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
  private static final double THOUSANDTHS_PER_UNIT = 1e3;

  /**
   * The names on the wire of what the settings identify by index; each list is in index order.
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
   * Timeouts and limits of connections.
   *
   * @param dialTimeoutNanos the timeout of connects to engines, of health checks, and of waiting
   *     for the other side to close a connection
   * @param keepaliveNanos the idle time after which engines close a connection
   * @param maxStreamsPerConnection the maximum number of concurrent attempts on a connection to an
   *     engine
   * @param maxOpenRequests the maximum number of concurrently open requests
   */
  public record Transport(
      long dialTimeoutNanos,
      long keepaliveNanos,
      int maxStreamsPerConnection,
      int maxOpenRequests) {}

  /**
   * Returns the keys whose values differ in another configuration and which a running gateway does
   * not reload: a change takes effect only after a restart.
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
   * Reads the file that the environment names. The environment may also set the gateway's name and
   * listen address, which then override those of the file.
   */
  public static GatewayConfig fromEnvironment(Map<String, String> environment)
      throws ConfigException {
    return fromEnvironment(environment, UnaryOperator.identity());
  }

  /**
   * Reads the file that the environment names, and applies a change, such as that of a revision, to
   * its document before it is validated.
   */
  public static GatewayConfig fromEnvironment(
      Map<String, String> environment, UnaryOperator<JsonNode> change) throws ConfigException {
    String file = environment.get(FILE_VARIABLE);
    if (file == null || file.isBlank()) {
      throw new ConfigException(
          FILE_VARIABLE, "the environment does not name the configuration file");
    }
    return fromFile(Path.of(file), environment, change);
  }

  /** Reads and validates a configuration file. */
  public static GatewayConfig fromFile(Path file, Map<String, String> environment)
      throws ConfigException {
    return fromFile(file, environment, UnaryOperator.identity());
  }

  private static GatewayConfig fromFile(
      Path file, Map<String, String> environment, UnaryOperator<JsonNode> change)
      throws ConfigException {
    byte[] json;
    try {
      json = Files.readAllBytes(file);
    } catch (IOException e) {
      throw new ConfigException(
          file.toString(), "cannot be read (" + e.getClass().getSimpleName() + ")");
    }
    try {
      return parse(change.apply(new ObjectMapper().readTree(json)), environment);
    } catch (JsonProcessingException e) {
      throw new ConfigException(file.toString(), "is not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new ConfigException(file.toString(), "is not JSON: " + e.getMessage());
    }
  }

  /** Returns a sample configuration for the warm-up, which listens on a free loopback port. */
  public static GatewayConfig sample() throws ConfigException {
    try (InputStream text = GatewayConfig.class.getResourceAsStream("sample.json");
        ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String listen = free.getInetAddress().getHostAddress() + ":" + free.getLocalPort();
      return parse(new ObjectMapper().readTree(text), Map.of("LB_LISTEN", listen));
    } catch (IOException e) {
      throw new ConfigException("the built-in sample.json", "cannot be read: " + e.getMessage());
    }
  }

  static GatewayConfig parse(JsonNode root, Map<String, String> environment)
      throws ConfigException {
    return GatewayConfigParser.parse(root, environment);
  }

  /** Converts the weight of an engine from the thousandths of the change log. */
  public static double weight(long thousandths) {
    return thousandths / THOUSANDTHS_PER_UNIT;
  }
}
