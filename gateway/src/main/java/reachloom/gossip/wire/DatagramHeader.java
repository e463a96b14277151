package reachloom.gossip.wire;

/**
 * The header that precedes a datagram's sections; it suffices to reject a datagram cheaply. No
 * field is authenticated before the signature has been verified.
 *
 * @param envelope cluster, sequence number, time and certificate
 * @param sender name of the member that sent the datagram, never empty
 * @param address where the sender listens: IPv4 address and port in the lowest 48 bits
 * @param incarnation incarnation of the sender
 * @param contentOffset index of the first byte after the header
 */
public record DatagramHeader(
    DatagramEnvelope envelope, String sender, long address, long incarnation, int contentOffset) {}
