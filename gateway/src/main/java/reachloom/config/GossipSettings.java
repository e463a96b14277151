package reachloom.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * How an instance takes part in gossip. Immutable.
 *
 * @param cluster the name of the cluster; datagrams of another one are rejected
 * @param listen the address at which it listens for datagrams
 * @param bytesPerSecond the most bytes that it sends in a second
 * @param periodNanos the protocol's period, in nanoseconds
 * @param keyFile its private key
 * @param certificateFile its certificate, which also gives its name
 * @param authorityFiles the certificates of the authorities that may sign others'
 * @param revocationFile the list of revoked certificates; null where none is kept
 * @param seeds the addresses of instances to join by
 * @param configuration how it takes part in distributing the configuration; empty where it does not
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
  /** Gossip without a part in distributing the configuration. */
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

  /** The same settings with a part in distributing the configuration. */
  public GossipSettings withConfiguration(ConfigurationSettings distribution) {
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
        Optional.of(distribution));
  }
}
