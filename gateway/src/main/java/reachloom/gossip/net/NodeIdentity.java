package reachloom.gossip.net;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import reachloom.config.ConfigException;
import reachloom.config.GossipSettings;

/**
 * Who this instance is, and whom it trusts: an Ed25519 key (RFC 8032), the certificate that names
 * it, the authorities whose word counts, and what has been revoked. Read from files as a whole, so
 * that it is replaced as a whole.
 */
public final class NodeIdentity {
  /** The signature of all datagrams and certificates. */
  public static final String ALGORITHM = "Ed25519";

  private final String name;
  private final PrivateKey key;
  private final byte[] certificate;
  private final X509Certificate own;
  private final List<X509Certificate> authorities;
  private final Set<String> revoked;

  private NodeIdentity(
      PrivateKey key, X509Certificate own, List<X509Certificate> authorities, Set<String> revoked)
      throws GeneralSecurityException {
    name = commonName(own);
    this.key = key;
    this.own = own;
    certificate = own.getEncoded();
    this.authorities = authorities;
    this.revoked = revoked;
  }

  /** Reads all files that the settings name, and checks that they belong together. */
  public static NodeIdentity read(GossipSettings s) throws ConfigException {
    try {
      KeyFactory keys = KeyFactory.getInstance(ALGORITHM);
      PrivateKey key = keys.generatePrivate(new PKCS8EncodedKeySpec(Pem.readPrivate(s.keyFile())));
      X509Certificate own = certificate(Pem.read(s.certificateFile(), "CERTIFICATE"));
      List<X509Certificate> authorities = new ArrayList<>();
      for (Path a : s.authorityFiles()) {
        authorities.add(certificate(Pem.read(a, "CERTIFICATE")));
      }
      NodeIdentity read =
          new NodeIdentity(key, own, List.copyOf(authorities), revoked(s.revocationFile()));
      byte[] probe = {1};
      if (!verify(own.getPublicKey(), probe, probe.length, read.sign(probe))) {
        throw new ConfigException(s.keyFile() + ": is not the key of " + s.certificateFile());
      }
      return read;
    } catch (IOException e) {
      throw new ConfigException("gossip: " + e.getMessage());
    } catch (GeneralSecurityException e) {
      throw new ConfigException("gossip: a key or certificate can't be used: " + e.getMessage());
    }
  }

  private static Set<String> revoked(Path list) throws IOException {
    Set<String> serials = new LinkedHashSet<>();
    if (list != null && Files.exists(list)) {
      for (String line : Files.readAllLines(list)) {
        String serial = line.replaceFirst("#.*", "").strip().toLowerCase(java.util.Locale.ROOT);
        if (!serial.isEmpty()) {
          serials.add(serial);
        }
      }
    }
    return serials;
  }

  /** Reads a certificate. */
  public static X509Certificate certificate(byte[] bytes) throws GeneralSecurityException {
    return (X509Certificate)
        CertificateFactory.getInstance("X.509")
            .generateCertificate(new ByteArrayInputStream(bytes));
  }

  /** The name that a certificate gives its owner. */
  public static String commonName(X509Certificate c) {
    for (String part : c.getSubjectX500Principal().getName().split(",")) {
      if (part.startsWith("CN=")) {
        return part.substring(3);
      }
    }
    return "";
  }

  /** A certificate's serial number as lists of revoked ones hold it. */
  public static String serial(X509Certificate c) {
    return HexFormat.of().formatHex(c.getSerialNumber().toByteArray());
  }

  public String name() {
    return name;
  }

  /** This instance's certificate, as bytes. */
  public byte[] certificate() {
    return certificate;
  }

  public X509Certificate own() {
    return own;
  }

  /** Signs a datagram. */
  public byte[] sign(byte[] bytes) throws GeneralSecurityException {
    Signature s = Signature.getInstance(ALGORITHM);
    s.initSign(key);
    s.update(bytes);
    return s.sign();
  }

  /** Whether that key's owner signed the first {@code length} bytes. */
  public static boolean verify(PublicKey key, byte[] bytes, int length, byte[] signature) {
    try {
      Signature s = Signature.getInstance(ALGORITHM);
      s.initVerify(key);
      s.update(bytes, 0, length);
      return s.verify(signature);
    } catch (GeneralSecurityException e) {
      return false;
    }
  }

  /**
   * Whether one of the authorities signed that certificate, itself valid at that time (Unix
   * milliseconds).
   */
  public boolean trusts(X509Certificate c, long time) {
    java.util.Date at = new java.util.Date(time);
    for (X509Certificate a : authorities) {
      try {
        a.checkValidity(at);
        c.checkValidity(at);
        boolean issuer = c.getIssuerX500Principal().equals(a.getSubjectX500Principal());
        if (issuer && a.getBasicConstraints() >= 0 && c.getBasicConstraints() < 0) {
          c.verify(a.getPublicKey());
          return true;
        }
      } catch (GeneralSecurityException e) {
        // not this one; another may have
      }
    }
    return false;
  }

  /** Whether a certificate has been taken back. */
  public boolean revoked(X509Certificate c) {
    return revoked.contains(serial(c));
  }
}
