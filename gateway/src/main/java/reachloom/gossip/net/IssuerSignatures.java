package reachloom.gossip.net;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.PublicKey;
import java.security.cert.X509Certificate;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import reachloom.config.ConfigException;
import reachloom.config.ConfigurationSettings;
import reachloom.revision.SignatureScheme;

/**
 * Signs and verifies the votes of issuers with Ed25519 (RFC 8032). Votes are verified by the
 * certificates that the settings name; a trusted authority must have issued each of them for the
 * issuer's name. Immutable and thread-safe: it is replaced as a whole when certificates are
 * reloaded.
 */
final class IssuerSignatures implements SignatureScheme {
  /**
   * Precedes the hash chain in the signed content (domain separation), so that no datagram and no
   * other signature by the same key is valid as a vote.
   */
  private static final byte[] SIGNATURE_CONTEXT =
      "reachloom revision 1\n".getBytes(StandardCharsets.US_ASCII);

  private final NodeIdentity self;
  private final Map<String, PublicKey> keys;

  private IssuerSignatures(NodeIdentity self, Map<String, PublicKey> keys) {
    this.self = self;
    this.keys = keys;
  }

  /**
   * Reads and checks the certificates of all issuers that the settings name.
   *
   * @param atMillis the time at which they must be valid, in Unix milliseconds
   * @throws ConfigException if a file can't be read or its certificate is not trusted; the message
   *     names the file or the issuer
   */
  static IssuerSignatures read(ConfigurationSettings settings, NodeIdentity self, long atMillis)
      throws ConfigException {
    Map<String, PublicKey> keys = new LinkedHashMap<>();
    for (ConfigurationSettings.Issuer issuer : settings.issuers()) {
      try {
        X509Certificate certificate =
            NodeIdentity.certificate(Pem.read(issuer.certificateFile(), "CERTIFICATE"));
        if (!NodeIdentity.commonName(certificate).equals(issuer.name())) {
          throw new ConfigException(
              issuer.certificateFile()
                  + ": is the certificate of '"
                  + NodeIdentity.commonName(certificate)
                  + "', not of issuer '"
                  + issuer.name()
                  + "'");
        }
        if (!self.trusts(certificate, atMillis) || self.isRevoked(certificate)) {
          throw new ConfigException(
              issuer.certificateFile()
                  + ": not issued by a trusted authority, not valid now, or revoked");
        }
        keys.put(issuer.name(), certificate.getPublicKey());
      } catch (IOException e) {
        throw new ConfigException("issuer '" + issuer.name() + "': " + e.getMessage());
      } catch (GeneralSecurityException e) {
        throw new ConfigException(issuer.certificateFile() + ": can't be used: " + e.getMessage());
      }
    }
    return new IssuerSignatures(self, keys);
  }

  @Override
  public byte[] sign(byte[] chain) {
    try {
      return self.sign(content(chain));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(
          "signing failed, although the key was checked when it was read", e);
    }
  }

  @Override
  public boolean verify(String issuer, byte[] chain, byte[] signature) {
    PublicKey key = keys.get(issuer);
    byte[] content = content(chain);
    return key != null && NodeIdentity.verify(key, content, content.length, signature);
  }

  private static byte[] content(byte[] chain) {
    byte[] content = Arrays.copyOf(SIGNATURE_CONTEXT, SIGNATURE_CONTEXT.length + chain.length);
    System.arraycopy(chain, 0, content, SIGNATURE_CONTEXT.length, chain.length);
    return content;
  }
}
