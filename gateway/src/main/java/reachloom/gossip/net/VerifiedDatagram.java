package reachloom.gossip.net;

import reachloom.gossip.Packet;

/**
 * A datagram whose sender is proved.
 *
 * @param packet what it holds
 * @param knownCertificate checksum of this instance's certificate as its sender holds it, 0 where
 *     it holds none
 * @param source the address that it came from, packed as {@link PackedAddress} does
 * @param sentAtMillis its sender's time, in Unix milliseconds
 */
record VerifiedDatagram(Packet packet, int knownCertificate, long source, long sentAtMillis) {}
