package reachloom.gossip.wire;

import java.util.Optional;

/**
 * What a datagram tells beside its packet, so that it can be proved.
 *
 * @param cluster {@link GossipCodec#clusterChecksum} of the cluster's name
 * @param sequenceNumber grows with each datagram of a sender, over restarts too; against replays
 * @param sentAtMillis the sender's time, in Unix milliseconds
 * @param certificate the sender's certificate (X.509, DER), brought along until the receiver is
 *     known to hold it
 * @param knownCertificate {@link GossipCodec#certificateChecksum} of the receiver's certificate as
 *     the sender holds it; 0 where it holds none
 */
public record DatagramEnvelope(
    int cluster,
    long sequenceNumber,
    long sentAtMillis,
    Optional<byte[]> certificate,
    int knownCertificate) {}
