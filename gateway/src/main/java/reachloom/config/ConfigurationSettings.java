package reachloom.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings of an instance that participates in the distribution of configuration revisions.
 * Immutable.
 *
 * @param place the location of the instance as 16 bits: region in the upper byte, zone in the lower
 * @param issuers the issuers whose votes prove a revision
 */
public record ConfigurationSettings(int place, List<Issuer> issuers) {
  /**
   * An issuer, which may vote on revisions.
   *
   * @param name its member name in gossip
   * @param address the address at which it listens
   * @param certificateFile the file of its certificate
   */
  public record Issuer(String name, InetSocketAddress address, Path certificateFile) {}

  /** Returns the number of votes that prove a revision: a majority of the issuers. */
  public int quorum() {
    return issuers.size() / 2 + 1;
  }
}
