package reachloom.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an installation sets beside the platform's configuration. What is absent is off; the file
 * itself may be absent, and then no class that reads XML is loaded. {@code clientIdleTimeout}, in
 * nanoseconds, is how long a connection of a client may rest with nothing open; absent, the
 * gateway's own bound holds.
 */
public record LocalSettings(Optional<GossipSettings> gossip, OptionalLong clientIdleTimeoutNanos) {
  /** The variable that names the file where the command line does not. */
  public static final String VARIABLE = "REACHLOOM_SETTINGS";

  /** All defaults: nothing is on. */
  public static LocalSettings none() {
    return new LocalSettings(Optional.empty(), OptionalLong.empty());
  }

  /** Reads the file that the command line names, else the one of the environment, else none. */
  public static LocalSettings read(String option, Map<String, String> environment)
      throws ConfigException {
    String file = option != null ? option : environment.getOrDefault(VARIABLE, "");
    return file.isBlank() ? none() : LocalSettingsParser.read(Path.of(file));
  }

  /** What differs in settings read anew and can't change while the gateway runs. */
  public List<String> changesNeedingRestart(LocalSettings next) {
    List<String> keys = new ArrayList<>();
    GossipSettings old = gossip.orElse(null);
    GossipSettings now = next.gossip.orElse(null);
    if (old == null || now == null) {
      if (old != now) {
        keys.add("gossip");
      }
      return keys;
    }
    difference(keys, "gossip cluster", old.cluster(), now.cluster());
    difference(keys, "gossip listen", old.listen(), now.listen());
    difference(keys, "gossip periodMs", old.periodNanos(), now.periodNanos());
    difference(keys, "gossip bytesPerSecond", old.bytesPerSecond(), now.bytesPerSecond());
    difference(keys, "gossip configuration", old.configuration(), now.configuration());
    return keys;
  }

  /** What differs in settings read anew and takes effect at once. */
  public List<String> changesAppliedAtOnce(LocalSettings next) {
    List<String> keys = new ArrayList<>();
    difference(keys, "clients idleTimeoutMs", clientIdleTimeoutNanos, next.clientIdleTimeoutNanos);
    if (gossip.isPresent() && next.gossip.isPresent()) {
      GossipSettings old = gossip.get();
      GossipSettings now = next.gossip.get();
      difference(
          keys,
          "gossip identity",
          List.of(old.keyFile(), old.certificateFile()),
          List.of(now.keyFile(), now.certificateFile()));
      difference(keys, "gossip authority", old.authorityFiles(), now.authorityFiles());
      difference(keys, "gossip revoked", old.revocationFile(), now.revocationFile());
      difference(keys, "gossip seed", old.seeds(), now.seeds());
    }
    return keys;
  }

  private static void difference(List<String> keys, String key, Object old, Object now) {
    if (!Objects.equals(old, now)) {
      keys.add(key);
    }
  }
}
