package reachloom.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * How an instance takes part in distributing the configuration. Immutable.
 *
 * @param place where it stands: the region in the upper byte of sixteen bits, the zone in the lower
 * @param issuers those whose votes prove a revision
 */
public record ConfigurationSettings(int place, List<Issuer> issuers) {
  /**
   * An issuer, which may vote for a revision.
   *
   * @param name its name in gossip
   * @param address where it listens
   * @param certificateFile its certificate
   */
  public record Issuer(String name, InetSocketAddress address, Path certificateFile) {}

  /** How many votes prove a revision: more than half of the issuers. */
  public int quorum() {
    return issuers.size() / 2 + 1;
  }
}
