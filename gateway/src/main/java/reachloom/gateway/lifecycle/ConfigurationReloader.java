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
 * The configuration that a gateway runs under: its own file, with the newest revision that was
 * issued to the whole installation merged over it. What can't be used leaves the one before in
 * force.
 *
 * <p>Thread-safe: files are read on the calling thread, never on the event loop's. All changes are
 * made one after another under this object's lock, so that never an older revision follows a newer
 * one.
 */
final class ConfigurationReloader {
  private static final Logger LOG = System.getLogger(ConfigurationReloader.class.getName());

  private final GatewayConfig atStart;
  private final Map<String, String> environment;
  private final String settingsFile;
  private final BiConsumer<GatewayConfig, LocalSettings> consumer;
  private LocalSettings local;
  private long revisionNumber;

  /** Merges the revision in force over a file. */
  private UnaryOperator<JsonNode> revision = UnaryOperator.identity();

  /**
   * Reads the settings of the installation; the configuration of the start is in force.
   *
   * @param settingsFile null for the file that the environment names, if any
   * @param consumer receives each configuration, with the settings, that is in force from now on;
   *     called under the lock
   * @throws ConfigException if the settings can't be used
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

  /** The settings of the installation, as read last. */
  synchronized LocalSettings local() {
    return local;
  }

  /** Reads the gateway's own files again; the revision in force stays merged over them. */
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
      List<String> taken = local.changesAppliedAtOnce(nextLocal);
      if (!taken.isEmpty()) {
        LOG.log(
            Level.INFO,
            "the settings are read again: {0} in force from now on",
            String.join(", ", taken));
      }
      local = nextLocal;
      consumer.accept(next, nextLocal);
    } catch (ConfigException | RuntimeException e) { // a file in any state must not end the gateway
      LOG.log(Level.WARNING, "the configuration stays as it is: {0}", e.getMessage());
    }
  }

  /**
   * Puts a revision in force. One that can't be used leaves the one before in force.
   *
   * @param number has to exceed that of the revision in force
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
    } catch (ConfigException | RuntimeException e) { // whatever is in it must not end the gateway
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
      LOG.log(Level.WARNING, "{0}: has changed, which takes effect at the next start only", key);
    }
  }
}
