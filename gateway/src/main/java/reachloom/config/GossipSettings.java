package reachloom.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The settings of an instance that participates in gossip. Immutable.
 *
 * @param cluster the name of the cluster; datagrams of other clusters are rejected
 * @param listen the address at which the instance listens for datagrams
 * @param bytesPerSecond the maximum number of bytes sent per second
 * @param periodNanos the protocol period, in nanoseconds
 * @param keyFile the private key of the instance
 * @param certificateFile the certificate of the instance, which also has its name
 * @param authorityFiles the certificates of the authorities that are trusted to sign certificates
 *     of other instances
 * @param revocationFile the list of revoked certificates; null if there is none
 * @param seeds the addresses of instances through which to join
 * @param configuration the settings of the distribution of configuration revisions; empty if the
 *     instance does not participate in it
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
  /** Creates settings without the distribution of configuration revisions. */
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

  /** Returns these settings with the distribution of configuration revisions enabled. */
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
