package reachloom.gossip.wire;

/**
 * What stands before the signed part's content: enough to refuse a datagram cheaply. {@code time}
 * is in Unix milliseconds; the certificate is null where the datagram brings none; {@code knowsYou}
 * tells whether the sender holds the receiver's.
 */
public record DatagramHeader(
    int cluster,
    String sender,
    long seq,
    long time,
    long address,
    long incarnation,
    byte[] certificate,
    int knows,
    int content,
    int end) {}
