package reachloom.revision;

/**
 * Another member of the installation.
 *
 * @param name its name, as its certificate has it
 * @param address where it listens, as gossip encodes it: IPv4 address and port in one number
 * @param place where it stands: the region in the upper byte, the zone in the lower; 0 if unknown
 */
public record Peer(String name, long address, int place) {}
