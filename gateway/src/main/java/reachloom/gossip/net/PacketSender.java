package reachloom.gossip.net;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import reachloom.gossip.Packet;
import reachloom.gossip.wire.DatagramEnvelope;
import reachloom.gossip.wire.EncodingTransport;
import reachloom.gossip.wire.GossipCodec;

/**
 * Encodes packets and passes them to the socket to be signed and sent. Tracks which members hold
 * this instance's certificate, so that it is sent no more often than needed. Confined to the event
 * loop.
 */
final class PacketSender extends EncodingTransport {
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  /** Receives encoded datagrams that are not signed yet. */
  interface Output {
    /** Signs a datagram and sends it to a packed address, in the order of the calls. */
    void send(long address, byte[] unsigned);
  }

  private final int cluster;
  private final LongSupplier clockNanos;
  private final DatagramVerifier verifier;
  private final Output output;
  private final Set<String> certificateHolders = new HashSet<>();
  private NodeIdentity identity;
  private long nextSequenceNumber;
  private long sentBytes;

  /**
   * Creates a sender.
   *
   * @param clusterName name of the cluster whose checksum each datagram holds
   * @param identity identity of the sender
   * @param clockNanos the event loop's time; sequence numbers start at it, which is past those of
   *     earlier processes
   * @param verifier caches the members' certificates
   * @param output receives the datagrams to be sent
   */
  PacketSender(
      String clusterName,
      NodeIdentity identity,
      LongSupplier clockNanos,
      DatagramVerifier verifier,
      Output output) {
    cluster = GossipCodec.clusterChecksum(clusterName);
    this.identity = identity;
    this.clockNanos = clockNanos;
    this.verifier = verifier;
    this.output = output;
    nextSequenceNumber = clockNanos.getAsLong();
  }

  /**
   * Replaces key and certificate; members hold the previous certificate and are sent the new one.
   */
  void setIdentity(NodeIdentity next) {
    identity = next;
    certificateHolders.clear();
  }

  /**
   * Records which certificate of this instance a member holds, by its checksum: a member that still
   * holds the previous certificate is sent the new one.
   */
  void noteKnownCertificate(String member, int checksum) {
    if (checksum == GossipCodec.certificateChecksum(identity.encodedCertificate())) {
      certificateHolders.add(member);
    } else {
      certificateHolders.remove(member);
    }
  }

  /** Returns the total size in bytes of all datagrams so far, including IP and UDP headers. */
  long sentBytes() {
    return sentBytes;
  }

  @Override
  protected String sender() {
    return identity.name();
  }

  @Override
  protected int certificateBytes(String receiver) {
    return certificateHolders.contains(receiver) ? 0 : identity.encodedCertificate().length;
  }

  @Override
  public void send(String to, long address, Packet packet) {
    send(to, address, packet, clockNanos.getAsLong() / NANOS_PER_MILLISECOND);
  }

  /** Sends a packet with the given time of sending, in Unix milliseconds. */
  void send(String to, long address, Packet packet, long sentAtMillis) {
    Optional<byte[]> certificate =
        certificateHolders.contains(to)
            ? Optional.empty()
            : Optional.of(identity.encodedCertificate());
    DatagramEnvelope envelope =
        new DatagramEnvelope(
            cluster,
            nextSequenceNumber++,
            sentAtMillis,
            certificate,
            verifier.knownCertificate(to));
    byte[] unsigned = GossipCodec.encode(envelope, packet);
    sentBytes += unsigned.length + GossipCodec.SIGNATURE_BYTES + GossipCodec.UDP_HEADER_BYTES;
    output.send(address, unsigned);
  }
}
