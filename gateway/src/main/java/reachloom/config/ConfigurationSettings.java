package reachloom.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * How this instance takes part in spreading the configuration: its place (the region in the upper
 * byte of sixteen bits, the zone in the lower), and the issuers whose votes prove a revision.
 */
public record ConfigurationSettings(int place, List<Issuer> issuers) {
  /**
   * One that may vote for a revision: its name in gossip, where it listens, and its certificate.
   */
  public record Issuer(String name, InetSocketAddress address, Path certificateFile) {}

  /** How many votes prove a revision: more than half of the issuers. */
  public int quorum() {
    return issuers.size() / 2 + 1;
  }
}
