package reachloom.gossip.net;

import reachloom.gossip.Packet;

/**
 * A datagram whose sender is authenticated.
 *
 * @param packet the decoded content
 * @param knownCertificate checksum of this instance's certificate that the sender holds, 0 if it
 *     holds none
 * @param source the source address, packed by {@link PackedAddress}
 * @param sentAtMillis the time of sending by the sender's clock, in Unix milliseconds
 */
record VerifiedDatagram(Packet packet, int knownCertificate, long source, long sentAtMillis) {}
