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
import java.util.Arrays;
import java.util.Date;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import reachloom.config.ConfigException;
import reachloom.config.GossipSettings;

/**
 * The identity of this instance and the certificates that it trusts: an Ed25519 key (RFC 8032), the
 * certificate that names the instance, the authorities that issue certificates of others, and the
 * revoked certificates. All are read from files together and replaced together. Immutable and
 * thread-safe.
 */
public final class NodeIdentity {
  /** The algorithm of the members' keys, and of the signatures of datagrams and votes. */
  public static final String ALGORITHM = "Ed25519";

  private static final String CERTIFICATE_LABEL = "CERTIFICATE";

  private final String name;
  private final PrivateKey key;
  private final byte[] encodedCertificate;
  private final X509Certificate certificate;
  private final List<X509Certificate> authorities;
  private final Set<String> revokedSerials;

  private NodeIdentity(
      PrivateKey key,
      X509Certificate certificate,
      List<X509Certificate> authorities,
      Set<String> revokedSerials)
      throws GeneralSecurityException {
    name = commonName(certificate);
    this.key = key;
    this.certificate = certificate;
    encodedCertificate = certificate.getEncoded();
    this.authorities = authorities;
    this.revokedSerials = revokedSerials;
  }

  /**
   * Reads all files that the settings name, and checks that key and certificate belong together.
   *
   * @throws ConfigException if a file can't be read or used; the message names the file or cause
   */
  public static NodeIdentity read(GossipSettings settings) throws ConfigException {
    try {
      PrivateKey key =
          KeyFactory.getInstance(ALGORITHM)
              .generatePrivate(new PKCS8EncodedKeySpec(Pem.readPrivate(settings.keyFile())));
      X509Certificate certificate = readCertificate(settings.certificateFile());
      List<X509Certificate> authorities = new ArrayList<>();
      for (Path file : settings.authorityFiles()) {
        authorities.add(readCertificate(file));
      }
      NodeIdentity identity =
          new NodeIdentity(
              key, certificate, List.copyOf(authorities), readRevoked(settings.revocationFile()));
      if (!identity.ownsKey()) {
        throw new ConfigException(
            settings.keyFile() + ": is not the key of " + settings.certificateFile());
      }
      return identity;
    } catch (IOException e) {
      throw new ConfigException("gossip: can't read a key, certificate or revocation file: " + e);
    } catch (GeneralSecurityException e) {
      throw new ConfigException("gossip: a key or certificate can't be used: " + e.getMessage());
    }
  }

  private static X509Certificate readCertificate(Path file)
      throws IOException, GeneralSecurityException {
    return certificate(Pem.read(file, CERTIFICATE_LABEL));
  }

  /** Reads serial numbers, one per line, comments after {@code #}; none if there is no file. */
  private static Set<String> readRevoked(Path list) throws IOException {
    Set<String> serials = new LinkedHashSet<>();
    if (list != null && Files.exists(list)) {
      for (String line : Files.readAllLines(list)) {
        String serial = line.replaceFirst("#.*", "").strip().toLowerCase(Locale.ROOT);
        if (!serial.isEmpty()) {
          serials.add(serial);
        }
      }
    }
    return serials;
  }

  /** Whether the private key belongs to the certificate, by verifying a signature made with it. */
  private boolean ownsKey() throws GeneralSecurityException {
    byte[] sample = {1};
    return verify(certificate.getPublicKey(), sample, sample.length, sign(sample));
  }

  /**
   * Parses an encoded certificate (X.509, DER).
   *
   * @throws GeneralSecurityException if the bytes are not a certificate
   */
  public static X509Certificate certificate(byte[] encoded) throws GeneralSecurityException {
    return (X509Certificate)
        CertificateFactory.getInstance("X.509")
            .generateCertificate(new ByteArrayInputStream(encoded));
  }

  /** Returns the common name of a certificate's subject, or "" if it has none. */
  public static String commonName(X509Certificate certificate) {
    for (String part : certificate.getSubjectX500Principal().getName().split(",")) {
      if (part.startsWith("CN=")) {
        return part.substring("CN=".length());
      }
    }
    return "";
  }

  /** Returns a certificate's serial number in hexadecimal, as in revocation lists. */
  public static String serial(X509Certificate certificate) {
    return HexFormat.of().formatHex(certificate.getSerialNumber().toByteArray());
  }

  /** Returns this instance's name, which is its certificate's common name. */
  public String name() {
    return name;
  }

  /** Returns this instance's certificate as it is sent (X.509, DER); must not be modified. */
  public byte[] encodedCertificate() {
    return encodedCertificate;
  }

  /** Returns this instance's certificate. */
  public X509Certificate x509Certificate() {
    return certificate;
  }

  /**
   * Returns the Ed25519 signature over {@code bytes}.
   *
   * @throws GeneralSecurityException if the key can't be used
   */
  public byte[] sign(byte[] bytes) throws GeneralSecurityException {
    Signature signature = Signature.getInstance(ALGORITHM);
    signature.initSign(key);
    signature.update(bytes);
    return signature.sign();
  }

  /**
   * Returns a complete datagram: {@code unsigned}, followed by its signature.
   *
   * @throws GeneralSecurityException if the key can't be used
   */
  public byte[] appendSignature(byte[] unsigned) throws GeneralSecurityException {
    byte[] signature = sign(unsigned);
    byte[] datagram = Arrays.copyOf(unsigned, unsigned.length + signature.length);
    System.arraycopy(signature, 0, datagram, unsigned.length, signature.length);
    return datagram;
  }

  /** Whether {@code signature} is the key owner's over the first {@code length} bytes. */
  public static boolean verify(PublicKey key, byte[] bytes, int length, byte[] signature) {
    try {
      Signature verifier = Signature.getInstance(ALGORITHM);
      verifier.initVerify(key);
      verifier.update(bytes, 0, length);
      return verifier.verify(signature);
    } catch (GeneralSecurityException e) {
      return false;
    }
  }

  /**
   * Whether one of the authorities issued that certificate, both are valid at that time, and the
   * certificate is not one of an authority.
   *
   * @param unixMillis Unix time in milliseconds
   */
  public boolean trusts(X509Certificate candidate, long unixMillis) {
    Date time = new Date(unixMillis);
    return authorities.stream().anyMatch(authority -> isIssuer(authority, candidate, time));
  }

  private static boolean isIssuer(X509Certificate authority, X509Certificate candidate, Date time) {
    try {
      authority.checkValidity(time);
      candidate.checkValidity(time);
      boolean namesAuthority =
          candidate.getIssuerX500Principal().equals(authority.getSubjectX500Principal());
      if (!namesAuthority || !isAuthority(authority) || isAuthority(candidate)) {
        return false;
      }
      candidate.verify(authority.getPublicKey());
      return true;
    } catch (GeneralSecurityException e) {
      return false; // another authority may have issued it
    }
  }

  private static boolean isAuthority(X509Certificate certificate) {
    return certificate.getBasicConstraints() >= 0;
  }

  /** Whether a certificate has been revoked. */
  public boolean isRevoked(X509Certificate candidate) {
    return revokedSerials.contains(serial(candidate));
  }
}
