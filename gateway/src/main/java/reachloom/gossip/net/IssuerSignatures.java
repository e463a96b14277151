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
 * The votes of issuers as Ed25519 signatures (RFC 8032): proved by the certificates that the
 * settings name, each of which an authority has to have signed for that very name. Immutable, so
 * that it is replaced as a whole when certificates are read again; may be used from any thread.
 */
final class IssuerSignatures implements SignatureScheme {
  /**
   * Precedes the chain in what is signed (domain separation): no datagram and no other signature of
   * the same key passes for a vote.
   */
  private static final byte[] PURPOSE =
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
   * @param atMillis the time at which they have to be valid, Unix milliseconds
   * @throws ConfigException where a file can't be read, or its certificate is not to be trusted;
   *     the message names the file or the issuer
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
              issuer.certificateFile() + ": no authority vouches for it, or it is revoked");
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
      throw new IllegalStateException("the key signed when it was read", e);
    }
  }

  @Override
  public boolean verify(String issuer, byte[] chain, byte[] signature) {
    PublicKey key = keys.get(issuer);
    byte[] content = content(chain);
    return key != null && NodeIdentity.verify(key, content, content.length, signature);
  }

  private static byte[] content(byte[] chain) {
    byte[] content = Arrays.copyOf(PURPOSE, PURPOSE.length + chain.length);
    System.arraycopy(chain, 0, content, PURPOSE.length, chain.length);
    return content;
  }
}
