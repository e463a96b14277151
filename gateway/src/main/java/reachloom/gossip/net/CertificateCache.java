package reachloom.gossip.net;

import java.security.GeneralSecurityException;
import java.security.cert.X509Certificate;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import reachloom.gossip.wire.GossipCodec;

/**
 * Caches the verified certificates of members by name and evicts the least recently used one when
 * it is full. Thread-safe: the receiving thread and the event loop use it under this object's lock.
 */
final class CertificateCache {
  private static final int MAX_CERTIFICATES = 2_048;

  private final Map<String, X509Certificate> certificates = new LinkedHashMap<>(16, 0.75f, true);

  /** Returns the cached certificate of a member, or empty if there is none. */
  synchronized Optional<X509Certificate> get(String member) {
    return Optional.ofNullable(certificates.get(member));
  }

  /**
   * Returns the {@link GossipCodec#certificateChecksum} of the cached certificate of a member, 0 if
   * there is none or it can't be encoded. It tells the member whether to send its certificate
   * again.
   */
  synchronized int checksum(String member) {
    X509Certificate certificate = certificates.get(member);
    try {
      return certificate == null ? 0 : GossipCodec.certificateChecksum(certificate.getEncoded());
    } catch (GeneralSecurityException e) {
      return 0;
    }
  }

  /** Caches a member's certificate in place of its previous one. */
  synchronized void put(String member, X509Certificate certificate) {
    if (certificates.size() >= MAX_CERTIFICATES) {
      certificates.remove(certificates.keySet().iterator().next());
    }
    certificates.put(member, certificate);
  }

  /** Removes all certificates. */
  synchronized void clear() {
    certificates.clear();
  }
}
