package reachloom.gateway.lifecycle;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import reachloom.config.ConfigException;
import reachloom.config.GatewayConfig;
import reachloom.config.LocalSettings;
import reachloom.config.MergePatch;

/**
 * The configuration in force at a gateway: its own file, with the newest revision of the
 * installation merged over it. An invalid configuration leaves the previous one in force.
 *
 * <p>Thread-safe: files are read on the calling thread, which is never the event loop's. This
 * object's lock serializes all changes, so that an older revision never replaces a newer one.
 */
final class ConfigurationReloader {
  private static final Logger LOG = System.getLogger(ConfigurationReloader.class.getName());

  private final GatewayConfig atStart;
  private final Map<String, String> environment;
  private final String settingsFile;
  private final BiConsumer<GatewayConfig, LocalSettings> consumer;
  private LocalSettings local;
  private long revisionNumber;

  /** Merges the revision in force over the content of a file. */
  private UnaryOperator<JsonNode> revision = UnaryOperator.identity();

  /**
   * Reads the settings of the installation; the configuration {@code atStart} is in force.
   *
   * @param settingsFile null for the file that the environment names, if any
   * @param consumer receives each new configuration with the settings once they are in force;
   *     called while the lock is held
   * @throws ConfigException if the settings are invalid
   */
  ConfigurationReloader(
      GatewayConfig atStart,
      Map<String, String> environment,
      String settingsFile,
      BiConsumer<GatewayConfig, LocalSettings> consumer)
      throws ConfigException {
    this.atStart = atStart;
    this.environment = environment;
    this.settingsFile = settingsFile;
    this.consumer = consumer;
    local = LocalSettings.read(settingsFile, environment);
  }

  /** Returns the settings of the installation that are in force. */
  synchronized LocalSettings local() {
    return local;
  }

  /** Reloads the gateway's own files; the revision in force stays merged over them. */
  synchronized void reload() {
    try {
      GatewayConfig next = GatewayConfig.fromEnvironment(environment, revision);
      LocalSettings nextLocal = LocalSettings.read(settingsFile, environment);
      logAwaitingRestart(atStart.changesNeedingRestart(next));
      logAwaitingRestart(local.changesNeedingRestart(nextLocal));
      LOG.log(
          Level.INFO,
          "the configuration is read again: changelog {0}, known up to event {1}",
          next.changeLog(),
          Long.toString(next.lastEventNumber()));
      List<String> applied = local.changesAppliedAtOnce(nextLocal);
      if (!applied.isEmpty()) {
        LOG.log(
            Level.INFO,
            "the settings are read again: changes of {0} are in force",
            String.join(", ", applied));
      }
      local = nextLocal;
      consumer.accept(next, nextLocal);
    } catch (ConfigException | RuntimeException e) { // no file content may stop the gateway
      LOG.log(Level.WARNING, "the configuration stays as it is: {0}", e.getMessage());
    }
  }

  /**
   * Puts a revision in force. An invalid revision leaves the previous one in force.
   *
   * @param number has to exceed the number of the revision in force
   * @param document a JSON merge patch
   * @return an empty string, or why the revision can't be put in force
   */
  synchronized String put(long number, byte[] document) {
    if (number <= revisionNumber) {
      return "revision " + revisionNumber + " is in force, which is newer";
    }
    try {
      UnaryOperator<JsonNode> patch = MergePatch.read(document)::applyTo;
      GatewayConfig next = GatewayConfig.fromEnvironment(environment, patch);
      logAwaitingRestart(atStart.changesNeedingRestart(next));
      revisionNumber = number;
      revision = patch;
      LOG.log(
          Level.INFO,
          "revision {0} is in force: changelog {1}, known up to event {2}",
          Long.toString(number),
          next.changeLog(),
          Long.toString(next.lastEventNumber()));
      consumer.accept(next, local);
      return "";
    } catch (ConfigException | RuntimeException e) { // no document may stop the gateway
      LOG.log(
          Level.WARNING,
          "revision {0} is refused, {1} stays in force: {2}",
          Long.toString(number),
          Long.toString(revisionNumber),
          e.getMessage());
      return String.valueOf(e.getMessage());
    }
  }

  private static void logAwaitingRestart(List<String> keys) {
    for (String key : keys) {
      LOG.log(Level.WARNING, "{0}: has changed, which takes effect only after a restart", key);
    }
  }
}
