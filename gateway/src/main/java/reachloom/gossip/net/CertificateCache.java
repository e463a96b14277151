package reachloom.gossip.net;

import java.security.GeneralSecurityException;
import java.security.cert.X509Certificate;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import reachloom.gossip.wire.GossipCodec;

/**
 * Certificates of members that were proved, by name; the least recently used one goes where there
 * are too many. Used by the receiving thread and by the event loop, each under this object's lock.
 */
final class CertificateCache {
  private static final int MAX_CERTIFICATES = 2_048;

  private final Map<String, X509Certificate> certificates = new LinkedHashMap<>(16, 0.75f, true);

  /** Returns the certificate that is held of a member, or empty for none. */
  synchronized Optional<X509Certificate> get(String member) {
    return Optional.ofNullable(certificates.get(member));
  }

  /**
   * Returns the {@link GossipCodec#certificateChecksum} of the certificate that is held of a
   * member, 0 for none: by it the member knows that it need not send its certificate again.
   */
  synchronized int checksum(String member) {
    X509Certificate certificate = certificates.get(member);
    try {
      return certificate == null ? 0 : GossipCodec.certificateChecksum(certificate.getEncoded());
    } catch (GeneralSecurityException e) {
      return 0;
    }
  }

  /** Holds a member's certificate in place of the one before. */
  synchronized void put(String member, X509Certificate certificate) {
    if (certificates.size() >= MAX_CERTIFICATES) {
      certificates.remove(certificates.keySet().iterator().next());
    }
    certificates.put(member, certificate);
  }

  /** Forgets all certificates. */
  synchronized void clear() {
    certificates.clear();
  }
}
