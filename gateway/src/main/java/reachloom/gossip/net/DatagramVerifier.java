package reachloom.gossip.net;

import java.security.GeneralSecurityException;
import java.security.cert.X509Certificate;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import reachloom.gossip.DatagramRateLimiter;
import reachloom.gossip.RejectionReason;
import reachloom.gossip.wire.DatagramEnvelope;
import reachloom.gossip.wire.DatagramHeader;
import reachloom.gossip.wire.GossipCodec;
import reachloom.gossip.wire.RejectedDatagramException;
import reachloom.time.WallClock;

/**
 * Accepts datagrams whose sender is proved, or rejects them and counts why. Checks go by their
 * cost: form, cluster, freshness and rate first, then the certificate, then the signature, and only
 * then the content.
 *
 * <p>{@link #verify} is the receiving thread's. The event loop reads counts and certificates'
 * checksums, and hands in identity and members; what both use is locked or volatile.
 */
final class DatagramVerifier {
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  private final int cluster;
  private final DatagramRateLimiter rateLimiter; // guarded by itself
  private final LongSupplier wallClockNanos;
  private final CertificateCache certificates = new CertificateCache();
  private volatile NodeIdentity identity;
  private volatile Set<Long> memberAddresses = Set.of();

  /** Creates a verifier for an instance that passes no revisions on, by this machine's clock. */
  DatagramVerifier(String clusterName, NodeIdentity identity, long periodNanos) {
    this(clusterName, identity, periodNanos, false);
  }

  /**
   * Creates a verifier by this machine's wall clock.
   *
   * @param clusterName datagrams of other clusters are rejected
   * @param identity whom this instance trusts
   * @param periodNanos period of gossip; members may send more where it is short
   * @param revisions whether members pass revisions of the configuration on as well
   */
  DatagramVerifier(String clusterName, NodeIdentity identity, long periodNanos, boolean revisions) {
    this(clusterName, identity, periodNanos, revisions, WallClock::unixNanos);
  }

  /** The same with a wall clock handed in, in Unix nanoseconds. */
  DatagramVerifier(
      String clusterName,
      NodeIdentity identity,
      long periodNanos,
      boolean revisions,
      LongSupplier wallClockNanos) {
    rateLimiter = new DatagramRateLimiter(periodNanos, revisions);
    this.wallClockNanos = wallClockNanos;
    cluster = GossipCodec.clusterChecksum(clusterName);
    this.identity = identity;
  }

  /** Replaces keys, authorities and revocations: whoever is known has to pass them again. */
  void setIdentity(NodeIdentity next) {
    identity = next;
    certificates.clear();
  }

  /** Replaces the addresses that members are known to send from, packed. */
  void setMemberAddresses(Set<Long> addresses) {
    memberAddresses = addresses;
  }

  /** Returns the checksum of a member's certificate as held here, 0 for none. */
  int knownCertificate(String member) {
    return certificates.checksum(member);
  }

  /** Returns how many datagrams were rejected so far, by reason; reasons without any are absent. */
  Map<RejectionReason, Long> rejections() {
    synchronized (rateLimiter) {
      return rateLimiter.rejections();
    }
  }

  /**
   * Verifies a datagram.
   *
   * @param nowNanos this process's own time; certificates are valid by the wall clock
   * @param source the packed address that it came from
   * @param datagram all of its bytes
   * @return what it holds, or empty where it was rejected, which is counted
   */
  Optional<VerifiedDatagram> verify(long nowNanos, long source, byte[] datagram) {
    synchronized (rateLimiter) {
      try {
        return check(nowNanos, source, datagram);
      } catch (RejectedDatagramException e) {
        rateLimiter.reject(e.reason());
        return Optional.empty();
      }
    }
  }

  private Optional<VerifiedDatagram> check(long nowNanos, long source, byte[] datagram)
      throws RejectedDatagramException {
    DatagramHeader header = GossipCodec.decodeHeader(datagram);
    DatagramEnvelope envelope = header.envelope();
    String sender = header.sender();
    if (envelope.cluster() != cluster) {
      throw new RejectedDatagramException(RejectionReason.CLUSTER);
    }
    Optional<X509Certificate> known = certificates.get(sender);
    long wallClock = wallClockNanos.getAsLong();
    if (!admitted(nowNanos, wallClock, source, header, known.isPresent())) {
      return Optional.empty();
    }
    boolean unchanged = known.isPresent() && brings(known.get(), envelope.certificate());
    long wallClockMillis = wallClock / NANOS_PER_MILLISECOND;
    X509Certificate certificate =
        unchanged ? known.get() : trustedCertificate(header, wallClockMillis);
    checkUsable(certificate, wallClockMillis);
    checkSignature(certificate, datagram);
    if (!rateLimiter.acceptSequenceNumber(sender, envelope.sequenceNumber())) {
      return Optional.empty(); // a replay, counted
    }
    if (!unchanged) {
      certificates.put(sender, certificate);
    }
    return Optional.of(
        new VerifiedDatagram(
            GossipCodec.decodeContent(datagram, header),
            envelope.knownCertificate(),
            source,
            envelope.sentAtMillis()));
  }

  /** Whether the cheap checks let it pass; one that doesn't is counted. */
  private boolean admitted(
      long nowNanos, long wallClockNow, long source, DatagramHeader header, boolean known) {
    DatagramEnvelope envelope = header.envelope();
    DatagramRateLimiter.Arrival arrival =
        new DatagramRateLimiter.Arrival(
            source,
            memberAddresses.contains(source),
            known,
            envelope.certificate().isPresent(),
            header.sender(),
            envelope.sentAtMillis() * NANOS_PER_MILLISECOND,
            envelope.sequenceNumber());
    return rateLimiter.admit(nowNanos, wallClockNow, arrival).isEmpty();
  }

  /** Whether a datagram brings no other certificate than the one that is held. */
  private static boolean brings(X509Certificate known, Optional<byte[]> brought) {
    try {
      return brought.isEmpty() || Arrays.equals(known.getEncoded(), brought.get());
    } catch (GeneralSecurityException e) {
      return false;
    }
  }

  /** Reads the certificate that a datagram brings; an authority has to vouch for it. */
  private X509Certificate trustedCertificate(DatagramHeader header, long wallClockMillis)
      throws RejectedDatagramException {
    byte[] encoded =
        header
            .envelope()
            .certificate()
            .orElseThrow(() -> new RejectedDatagramException(RejectionReason.UNKNOWN));
    try {
      X509Certificate certificate = NodeIdentity.certificate(encoded);
      if (NodeIdentity.commonName(certificate).equals(header.sender())
          && identity.trusts(certificate, wallClockMillis)) {
        return certificate;
      }
    } catch (GeneralSecurityException e) {
      // can't be read: rejected below
    }
    throw new RejectedDatagramException(RejectionReason.CERTIFICATE);
  }

  private void checkUsable(X509Certificate certificate, long wallClockMillis)
      throws RejectedDatagramException {
    if (identity.isRevoked(certificate)) {
      throw new RejectedDatagramException(RejectionReason.REVOKED);
    }
    if (wallClockMillis < certificate.getNotBefore().getTime()
        || wallClockMillis > certificate.getNotAfter().getTime()) {
      throw new RejectedDatagramException(RejectionReason.CERTIFICATE);
    }
  }

  private static void checkSignature(X509Certificate certificate, byte[] datagram)
      throws RejectedDatagramException {
    int signedBytes = datagram.length - GossipCodec.SIGNATURE_BYTES;
    byte[] signature = Arrays.copyOfRange(datagram, signedBytes, datagram.length);
    if (!NodeIdentity.verify(certificate.getPublicKey(), datagram, signedBytes, signature)) {
      throw new RejectedDatagramException(RejectionReason.FORGED);
    }
  }
}
