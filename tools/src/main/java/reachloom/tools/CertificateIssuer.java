package reachloom.tools;

import java.io.IOException;
import java.math.BigInteger;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.SubjectPublicKeyInfo;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import reachloom.gossip.net.NodeIdentity;
import reachloom.time.WallClock;

/**
 * A certificate authority. Its certificates are as small as X.509 allows, because datagrams to a
 * peer carry one until the peer is known to hold it.
 */
final class CertificateIssuer {
  private static final int SERIAL_BITS = 63;

  /** The start of the validity is set back by this time, since clocks differ. */
  private static final Duration BACKDATED = Duration.ofMinutes(5);

  private final String name;
  private final PrivateKey key;

  /** Creates an authority with that common name and signing key. */
  CertificateIssuer(String name, PrivateKey key) {
    this.name = name;
    this.key = key;
  }

  /**
   * Returns the encoded certificate of the authority itself, valid from 5 minutes ago until {@code
   * validity} from now.
   */
  byte[] issueSelfSigned(PublicKey publicKey, Duration validity)
      throws IOException, OperatorCreationException {
    X509v3CertificateBuilder builder = builder(name, publicKey, validity);
    builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(0));
    return sign(builder);
  }

  /**
   * Returns the encoded certificate of an instance with that common name, valid from 5 minutes ago
   * until {@code validity} from now.
   */
  byte[] issue(String subject, PublicKey publicKey, Duration validity)
      throws IOException, OperatorCreationException {
    return sign(builder(subject, publicKey, validity));
  }

  private X509v3CertificateBuilder builder(String subject, PublicKey publicKey, Duration validity) {
    Instant from = WallClock.instant().minus(BACKDATED);
    return new X509v3CertificateBuilder(
        commonName(name),
        new BigInteger(SERIAL_BITS, new SecureRandom()),
        Date.from(from),
        Date.from(from.plus(BACKDATED).plus(validity)),
        commonName(subject),
        SubjectPublicKeyInfo.getInstance(publicKey.getEncoded()));
  }

  private static X500Name commonName(String name) {
    return new X500Name("CN=" + name);
  }

  private byte[] sign(X509v3CertificateBuilder builder)
      throws IOException, OperatorCreationException {
    return builder
        .build(new JcaContentSignerBuilder(NodeIdentity.ALGORITHM).build(key))
        .getEncoded();
  }
}
