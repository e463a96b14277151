package reachloom.gateway.lifecycle;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import reachloom.config.ConfigException;
import reachloom.config.GatewayConfig;
import reachloom.config.LocalSettings;
import reachloom.config.MergePatch;

/**
 * The configuration that a gateway runs under: its own file, and over it the newest revision that
 * the whole installation was issued. Read anew off the loop; what can't be used leaves the one
 * before in force. All changes pass through here one after another, so that never an older revision
 * follows a newer one.
 */
final class ConfigurationReloader {
  private static final Logger LOG = System.getLogger(ConfigurationReloader.class.getName());

  private final GatewayConfig atStart;
  private final Map<String, String> environment;
  private final String settingsFile;
  private final BiConsumer<GatewayConfig, LocalSettings> takeOver;
  private LocalSettings local;
  private long number;
  private UnaryOperator<JsonNode> revision = UnaryOperator.identity();

  /** {@code takeOver} is given each configuration that is to be in force from now on. */
  ConfigurationReloader(
      GatewayConfig atStart,
      Map<String, String> environment,
      String settingsFile,
      BiConsumer<GatewayConfig, LocalSettings> takeOver)
      throws ConfigException {
    this.atStart = atStart;
    this.environment = environment;
    this.settingsFile = settingsFile;
    this.takeOver = takeOver;
    local = LocalSettings.read(settingsFile, environment);
  }

  /** The installation's settings as last read. */
  synchronized LocalSettings local() {
    return local;
  }

  /** Reads the gateway's own files again; the revision in force stays over them. */
  synchronized void reload() {
    try {
      GatewayConfig next = GatewayConfig.fromEnvironment(environment, revision);
      LocalSettings nextLocal = LocalSettings.read(settingsFile, environment);
      List<String> waiting = waiting(next);
      waiting.addAll(local.changesNeedingRestart(nextLocal));
      tellWaiting(waiting);
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
      takeOver.accept(next, nextLocal);
    } catch (ConfigException | RuntimeException e) { // a file in any state must not end the gateway
      LOG.log(Level.WARNING, "the configuration stays as it is: {0}", e.getMessage());
    }
  }

  /** Puts a revision in force; gives "", or why it can't be, and then the one before stays. */
  synchronized String put(long next, byte[] document) {
    if (next <= number) {
      return "revision " + number + " is in force, which is newer";
    }
    try {
      UnaryOperator<JsonNode> patch = MergePatch.read(document)::applyTo;
      GatewayConfig read = GatewayConfig.fromEnvironment(environment, patch);
      tellWaiting(waiting(read));
      number = next;
      revision = patch;
      LOG.log(
          Level.INFO,
          "revision {0} is in force: changelog {1}, known up to event {2}",
          Long.toString(next),
          read.changeLog(),
          Long.toString(read.lastEventNumber()));
      takeOver.accept(read, local);
      return "";
    } catch (ConfigException | RuntimeException e) { // whatever is in it must not end the gateway
      LOG.log(
          Level.WARNING,
          "revision {0} is refused, {1} stays in force: {2}",
          Long.toString(next),
          Long.toString(number),
          e.getMessage());
      return String.valueOf(e.getMessage());
    }
  }

  private List<String> waiting(GatewayConfig next) {
    return new ArrayList<>(atStart.changesNeedingRestart(next));
  }

  private static void tellWaiting(List<String> keys) {
    for (String key : keys) {
      LOG.log(Level.WARNING, "{0}: has changed, which takes effect at the next start only", key);
    }
  }
}
