package reachloom.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Gossip between instances as an installation sets it. {@code period} is in nanoseconds, {@code
 * bytesPerSecond} counts what this instance sends; {@code revoked} is null where no list is kept;
 * without {@code configuration} no revision is heard of.
 */
public record GossipSettings(
    String cluster,
    InetSocketAddress listen,
    int bytesPerSecond,
    long periodNanos,
    Path keyFile,
    Path certificateFile,
    List<Path> authorityFiles,
    Path revocationFile,
    List<InetSocketAddress> seeds,
    Optional<ConfigurationSettings> configuration) {
  /** Gossip alone. */
  public GossipSettings(
      String cluster,
      InetSocketAddress listen,
      int bytesPerSecond,
      long periodNanos,
      Path keyFile,
      Path certificateFile,
      List<Path> authorityFiles,
      Path revocationFile,
      List<InetSocketAddress> seeds) {
    this(
        cluster,
        listen,
        bytesPerSecond,
        periodNanos,
        keyFile,
        certificateFile,
        authorityFiles,
        revocationFile,
        seeds,
        Optional.empty());
  }

  /** The same with a part in spreading the configuration. */
  public GossipSettings with(ConfigurationSettings c) {
    return new GossipSettings(
        cluster,
        listen,
        bytesPerSecond,
        periodNanos,
        keyFile,
        certificateFile,
        authorityFiles,
        revocationFile,
        seeds,
        Optional.of(c));
  }
}
