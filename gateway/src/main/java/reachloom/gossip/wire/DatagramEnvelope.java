package reachloom.gossip.wire;

import java.util.Optional;

/**
 * The fields of a datagram, beside its packet, by which the receiver authenticates it.
 *
 * @param cluster {@link GossipCodec#clusterChecksum} of the cluster's name
 * @param sequenceNumber increases with each datagram of a sender, across restarts as well; protects
 *     against replays
 * @param sentAtMillis the sender's time, in Unix milliseconds
 * @param certificate the sender's certificate (X.509, DER), included until the receiver is known to
 *     hold it
 * @param knownCertificate {@link GossipCodec#certificateChecksum} of the receiver's certificate
 *     that the sender holds; 0 if it holds none
 */
public record DatagramEnvelope(
    int cluster,
    long sequenceNumber,
    long sentAtMillis,
    Optional<byte[]> certificate,
    int knownCertificate) {}
