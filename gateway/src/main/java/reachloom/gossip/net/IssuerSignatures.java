package reachloom.gossip.net;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.PublicKey;
import java.security.cert.X509Certificate;
import java.util.LinkedHashMap;
import java.util.Map;
import reachloom.config.ConfigException;
import reachloom.config.ConfigurationSettings;
import reachloom.revision.SignatureScheme;

/**
 * Proves issuers' votes by the certificates that the settings name, each of which an authority has
 * to have signed for that very name; read as a whole, so that it is replaced as a whole.
 */
final class IssuerSignatures implements SignatureScheme {
  /**
   * Stands before what is signed: no datagram and no other signature of the same key passes for a
   * vote.
   */
  private static final byte[] PURPOSE =
      "reachloom revision 1\n".getBytes(StandardCharsets.US_ASCII);

  private final NodeIdentity self;
  private final Map<String, PublicKey> keys;

  private IssuerSignatures(NodeIdentity self, Map<String, PublicKey> keys) {
    this.self = self;
    this.keys = keys;
  }

  /** Reads and checks the certificates; {@code time} is in Unix milliseconds. */
  static IssuerSignatures read(ConfigurationSettings settings, NodeIdentity self, long time)
      throws ConfigException {
    Map<String, PublicKey> keys = new LinkedHashMap<>();
    for (ConfigurationSettings.Issuer i : settings.issuers()) {
      try {
        X509Certificate c = NodeIdentity.certificate(Pem.read(i.certificateFile(), "CERTIFICATE"));
        if (!NodeIdentity.commonName(c).equals(i.name())) {
          throw new ConfigException(
              i.certificateFile()
                  + ": is the certificate of '"
                  + NodeIdentity.commonName(c)
                  + "', not of issuer '"
                  + i.name()
                  + "'");
        }
        if (!self.trusts(c, time) || self.revoked(c)) {
          throw new ConfigException(
              i.certificateFile() + ": no authority vouches for it, or it is revoked");
        }
        keys.put(i.name(), c.getPublicKey());
      } catch (IOException e) {
        throw new ConfigException("issuer '" + i.name() + "': " + e.getMessage());
      } catch (GeneralSecurityException e) {
        throw new ConfigException(i.certificateFile() + ": can't be used: " + e.getMessage());
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
    byte[] all = java.util.Arrays.copyOf(PURPOSE, PURPOSE.length + chain.length);
    System.arraycopy(chain, 0, all, PURPOSE.length, chain.length);
    return all;
  }
}
