package reachloom.revision;

/**
 * Another member of the installation.
 *
 * @param name its name, as in its certificate
 * @param address its address in the encoding of gossip: IPv4 address and port in one number
 * @param place its location: the region in the upper byte, the zone in the lower; 0 if unknown
 */
public record Peer(String name, long address, int place) {}
