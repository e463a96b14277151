package reachloom.gossip.wire;

/**
 * What stands before a datagram's sections: enough to reject it cheaply. Nothing of it is proved
 * before the signature is verified.
 *
 * @param envelope cluster, sequence number, time and certificate
 * @param sender name of the member that sent it, never empty
 * @param address where the sender listens: IPv4 address and port in the lowest 48 bits
 * @param incarnation incarnation of the sender
 * @param contentOffset index of the first byte behind the header
 */
public record DatagramHeader(
    DatagramEnvelope envelope, String sender, long address, long incarnation, int contentOffset) {}
