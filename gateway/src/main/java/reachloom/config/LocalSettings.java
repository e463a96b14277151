package reachloom.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an installation sets for a gateway beside the platform's configuration. What is absent is
 * off. The file itself may be absent, and then no class that reads XML is loaded. Immutable.
 *
 * @param gossip how the gateway takes part in gossip; empty where it does not
 * @param clientIdleTimeoutNanos how long a client's connection may be idle, in nanoseconds; empty
 *     for the gateway's own default
 */
public record LocalSettings(Optional<GossipSettings> gossip, OptionalLong clientIdleTimeoutNanos) {
  /** The environment variable that names the file where the command line does not. */
  public static final String VARIABLE = "REACHLOOM_SETTINGS";

  /** All defaults: nothing is on. */
  public static LocalSettings none() {
    return new LocalSettings(Optional.empty(), OptionalLong.empty());
  }

  /**
   * Reads the settings file.
   *
   * @param option the file that the command line names; null for that of the environment
   * @return all defaults where neither names one
   */
  public static LocalSettings read(String option, Map<String, String> environment)
      throws ConfigException {
    String file = option != null ? option : environment.getOrDefault(VARIABLE, "");
    return file.isBlank() ? none() : LocalSettingsParser.read(Path.of(file));
  }

  /**
   * The elements and attributes that differ in other settings, and which a running gateway does not
   * take over: it has to be restarted for them.
   */
  public List<String> changesNeedingRestart(LocalSettings next) {
    List<String> keys = new ArrayList<>();
    if (gossip.isEmpty() || next.gossip.isEmpty()) {
      addIfDifferent(keys, "gossip", gossip.isPresent(), next.gossip.isPresent());
      return keys;
    }
    GossipSettings ours = gossip.get();
    GossipSettings theirs = next.gossip.get();
    addIfDifferent(keys, "gossip cluster", ours.cluster(), theirs.cluster());
    addIfDifferent(keys, "gossip listen", ours.listen(), theirs.listen());
    addIfDifferent(keys, "gossip periodMs", ours.periodNanos(), theirs.periodNanos());
    addIfDifferent(keys, "gossip bytesPerSecond", ours.bytesPerSecond(), theirs.bytesPerSecond());
    addIfDifferent(keys, "gossip configuration", ours.configuration(), theirs.configuration());
    return keys;
  }

  /** The elements and attributes that differ in other settings, and which take effect at once. */
  public List<String> changesAppliedAtOnce(LocalSettings next) {
    List<String> keys = new ArrayList<>();
    addIfDifferent(
        keys, "clients idleTimeoutMs", clientIdleTimeoutNanos, next.clientIdleTimeoutNanos);
    if (gossip.isEmpty() || next.gossip.isEmpty()) {
      return keys;
    }
    GossipSettings ours = gossip.get();
    GossipSettings theirs = next.gossip.get();
    addIfDifferent(
        keys,
        "gossip identity",
        List.of(ours.keyFile(), ours.certificateFile()),
        List.of(theirs.keyFile(), theirs.certificateFile()));
    addIfDifferent(keys, "gossip authority", ours.authorityFiles(), theirs.authorityFiles());
    addIfDifferent(keys, "gossip revoked", ours.revocationFile(), theirs.revocationFile());
    addIfDifferent(keys, "gossip seed", ours.seeds(), theirs.seeds());
    return keys;
  }

  private static void addIfDifferent(List<String> keys, String key, Object value, Object next) {
    if (!Objects.equals(value, next)) {
      keys.add(key);
    }
  }
}
