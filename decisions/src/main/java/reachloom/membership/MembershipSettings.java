package reachloom.membership;

import java.util.List;

/**
 * The settings of a node's membership in a cluster.
 *
 * @param name the name of this node, unique in the cluster, not empty
 * @param address the address that it listens on: IPv4 address and port in the lowest 48 bits
 * @param seeds addresses of members through which it joins; may contain its own, may be empty
 * @param periodNanos the protocol period, in which one member is pinged
 * @param maxBytesPerSecond the bandwidth limit of all that this node sends
 */
public record MembershipSettings(
    String name, long address, List<Long> seeds, long periodNanos, int maxBytesPerSecond) {
  /** Copies the list of seeds. */
  public MembershipSettings {
    seeds = List.copyOf(seeds);
  }
}
