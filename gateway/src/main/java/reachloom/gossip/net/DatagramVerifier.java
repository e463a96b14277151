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
 * Accepts datagrams whose sender is authenticated, rejects all others and counts the rejections by
 * reason. Checks run in the order of their cost: form, cluster, freshness and rate first, then the
 * certificate, then the signature, and last the content.
 *
 * <p>{@link #verify} runs on the receiving thread. The event loop reads counts and certificate
 * checksums, and sets the identity and the member addresses; shared state is locked or volatile.
 */
final class DatagramVerifier {
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  private final int cluster;
  private final DatagramRateLimiter rateLimiter; // guarded by itself
  private final LongSupplier wallClockNanos;
  private final CertificateCache certificates = new CertificateCache();
  private volatile NodeIdentity identity;
  private volatile Set<Long> memberAddresses = Set.of();

  /**
   * Creates a verifier that uses this machine's wall clock, for members that forward no revisions,
   * so that its rate limit is lower.
   */
  DatagramVerifier(String clusterName, NodeIdentity identity, long periodNanos) {
    this(clusterName, identity, periodNanos, false);
  }

  /**
   * Creates a verifier that uses this machine's wall clock.
   *
   * @param clusterName datagrams of other clusters are rejected
   * @param identity the authorities that this instance trusts, and the revoked certificates
   * @param periodNanos the gossip period; a shorter period lets members send more
   * @param revisions whether members also forward revisions of the configuration
   */
  DatagramVerifier(String clusterName, NodeIdentity identity, long periodNanos, boolean revisions) {
    this(clusterName, identity, periodNanos, revisions, WallClock::unixNanos);
  }

  /** Creates a verifier with the given wall clock, in Unix nanoseconds. */
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

  /** Replaces keys, authorities and revocations; every member's certificate is verified again. */
  void setIdentity(NodeIdentity next) {
    identity = next;
    certificates.clear();
  }

  /** Replaces the packed addresses that members are known to send from. */
  void setMemberAddresses(Set<Long> addresses) {
    memberAddresses = addresses;
  }

  /** Returns the checksum of a member's cached certificate, 0 if there is none. */
  int knownCertificate(String member) {
    return certificates.checksum(member);
  }

  /** Returns the number of rejected datagrams so far by reason; reasons without any are absent. */
  Map<RejectionReason, Long> rejections() {
    synchronized (rateLimiter) {
      return rateLimiter.rejections();
    }
  }

  /**
   * Verifies a datagram.
   *
   * @param nowNanos the time of this process; certificates are checked against the wall clock
   * @param source the packed source address of the datagram
   * @param datagram the complete datagram
   * @return the verified datagram, or empty if it was rejected, which is counted
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
    boolean unchanged = known.isPresent() && isSameOrAbsent(known.get(), envelope.certificate());
    long wallClockMillis = wallClock / NANOS_PER_MILLISECOND;
    X509Certificate certificate =
        unchanged ? known.get() : trustedCertificate(header, wallClockMillis);
    checkUsable(certificate, wallClockMillis);
    checkSignature(certificate, datagram);
    if (!rateLimiter.acceptSequenceNumber(sender, envelope.sequenceNumber())) {
      return Optional.empty(); // a replay, counted by the rate limiter
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

  /**
   * Whether the rate limiter admits a datagram before its signature is verified; counts rejections.
   */
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

  /** Whether a datagram has either no certificate or the cached one. */
  private static boolean isSameOrAbsent(X509Certificate known, Optional<byte[]> received) {
    try {
      return received.isEmpty() || Arrays.equals(known.getEncoded(), received.get());
    } catch (GeneralSecurityException e) {
      return false;
    }
  }

  /**
   * Decodes the certificate in a datagram and checks that a trusted authority issued it to the
   * sender.
   */
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
      // not a certificate: rejected below
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
