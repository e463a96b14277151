package reachloom.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The settings that an installation makes for a gateway in addition to the platform's
 * configuration. A feature without settings is off. The file itself is optional; without it no
 * class that reads XML is loaded. Immutable.
 *
 * @param gossip the gossip settings; empty if the gateway does not participate in gossip
 * @param clientIdleTimeoutNanos how long a client's connection may be idle, in nanoseconds; empty
 *     for the gateway's default
 */
public record LocalSettings(Optional<GossipSettings> gossip, OptionalLong clientIdleTimeoutNanos) {
  /** The environment variable that names the file if the command line does not. */
  public static final String FILE_VARIABLE = "REACHLOOM_SETTINGS";

  /** Returns the defaults: all optional features are off. */
  public static LocalSettings none() {
    return new LocalSettings(Optional.empty(), OptionalLong.empty());
  }

  /**
   * Reads the settings file.
   *
   * @param option the file that the command line names; null to use that of the environment
   * @return the defaults if neither names a file
   */
  public static LocalSettings read(String option, Map<String, String> environment)
      throws ConfigException {
    String file = option != null ? option : environment.getOrDefault(FILE_VARIABLE, "");
    return file.isBlank() ? none() : LocalSettingsParser.read(Path.of(file));
  }

  /**
   * Returns the elements and attributes that differ in other settings and which a running gateway
   * does not reload: a change takes effect only after a restart.
   */
  public List<String> changesNeedingRestart(LocalSettings next) {
    List<String> keys = new ArrayList<>();
    if (gossip.isEmpty() || next.gossip.isEmpty()) {
      addIfDifferent(keys, "gossip", gossip.isPresent(), next.gossip.isPresent());
      return keys;
    }
    GossipSettings current = gossip.get();
    GossipSettings changed = next.gossip.get();
    addIfDifferent(keys, "gossip cluster", current.cluster(), changed.cluster());
    addIfDifferent(keys, "gossip listen", current.listen(), changed.listen());
    addIfDifferent(keys, "gossip periodMs", current.periodNanos(), changed.periodNanos());
    addIfDifferent(
        keys, "gossip bytesPerSecond", current.bytesPerSecond(), changed.bytesPerSecond());
    addIfDifferent(keys, "gossip configuration", current.configuration(), changed.configuration());
    return keys;
  }

  /** Returns the elements and attributes that differ and which a reload applies immediately. */
  public List<String> changesAppliedAtOnce(LocalSettings next) {
    List<String> keys = new ArrayList<>();
    addIfDifferent(
        keys, "clients idleTimeoutMs", clientIdleTimeoutNanos, next.clientIdleTimeoutNanos);
    if (gossip.isEmpty() || next.gossip.isEmpty()) {
      return keys;
    }
    GossipSettings current = gossip.get();
    GossipSettings changed = next.gossip.get();
    addIfDifferent(
        keys,
        "gossip identity",
        List.of(current.keyFile(), current.certificateFile()),
        List.of(changed.keyFile(), changed.certificateFile()));
    addIfDifferent(keys, "gossip authority", current.authorityFiles(), changed.authorityFiles());
    addIfDifferent(keys, "gossip revoked", current.revocationFile(), changed.revocationFile());
    addIfDifferent(keys, "gossip seed", current.seeds(), changed.seeds());
    return keys;
  }

  private static void addIfDifferent(List<String> keys, String key, Object value, Object next) {
    if (!Objects.equals(value, next)) {
      keys.add(key);
    }
  }
}
