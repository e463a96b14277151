package reachloom.membership;

import java.util.List;

/**
 * How a node takes part in a cluster.
 *
 * @param name the name of this node, unique in the cluster, not empty
 * @param address where it listens: IPv4 address and port in the lowest 48 bits
 * @param seeds addresses of members to join by; may contain its own, may be empty
 * @param periodNanos the protocol period: one member is pinged in each
 * @param maxBytesPerSecond the bandwidth limit of all that this node sends
 */
public record MembershipSettings(
    String name, long address, List<Long> seeds, long periodNanos, int maxBytesPerSecond) {
  /** Copies the list of seeds. */
  public MembershipSettings {
    seeds = List.copyOf(seeds);
  }
}
