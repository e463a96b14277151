package reachloom.gossip.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.KeyFactory;
import java.security.PublicKey;
import java.security.cert.X509Certificate;
import java.security.interfaces.EdECPrivateKey;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.time.Instant;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reachloom.config.GossipSettings;
import reachloom.gossip.GoldenResources;
import reachloom.gossip.Packet;
import reachloom.gossip.wire.DatagramEnvelope;
import reachloom.gossip.wire.GossipCodec;
import reachloom.membership.MembershipMessage;

/**
 * Stored keys, certificates and a signed datagram are read with the same values and written to the
 * same bytes. Times are passed in, so that the machine's clock doesn't matter.
 */
class IdentityGoldenTest {
  private static final String CLUSTER = "golden";
  private static final long MILLISECOND_NANOS = 1_000_000;
  private static final long SENT_AT_MILLIS = 1_800_000_000_123L;
  private static final long SEQUENCE_NUMBER = 77;
  private static final Packet PING =
      new Packet(
          "gateway-1",
          0x0a00_0001L << 16 | 7946,
          1_800_000_000_000_000_000L,
          new MembershipMessage.Ping(5, "gateway-2"),
          List.of(),
          List.of());

  @TempDir Path folder;

  private NodeIdentity identity;

  @BeforeEach
  void readStoredFiles() throws Exception {
    for (String name : List.of("ca.crt", "gateway-1.key", "gateway-1.crt", "revoked.txt")) {
      Files.write(folder.resolve(name), GoldenResources.bytes("identity/" + name));
    }
    Files.setPosixFilePermissions(
        folder.resolve("gateway-1.key"), PosixFilePermissions.fromString("rw-------"));
    identity =
        NodeIdentity.read(
            new GossipSettings(
                CLUSTER,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 7946),
                0,
                0,
                folder.resolve("gateway-1.key"),
                folder.resolve("gateway-1.crt"),
                List.of(folder.resolve("ca.crt")),
                folder.resolve("revoked.txt"),
                List.of()));
  }

  private byte[] pemBlock(String name, String label) throws Exception {
    Path file = Files.write(folder.resolve(name), GoldenResources.bytes("identity/" + name));
    return Pem.read(file, label);
  }

  private X509Certificate certificate(String name) throws Exception {
    return NodeIdentity.certificate(pemBlock(name, "CERTIFICATE"));
  }

  private static byte[] signedPing(NodeIdentity signer) throws Exception {
    byte[] unsigned =
        GossipCodec.encode(
            new DatagramEnvelope(
                GossipCodec.clusterChecksum(CLUSTER),
                SEQUENCE_NUMBER,
                SENT_AT_MILLIS,
                Optional.ofNullable(signer.encodedCertificate()),
                0),
            PING);
    return signer.appendSignature(unsigned);
  }

  @Test
  void readsStoredIdentity() throws Exception {
    assertEquals("gateway-1", identity.name());
    assertArrayEquals(pemBlock("gateway-1.crt", "CERTIFICATE"), identity.encodedCertificate());
    assertEquals(certificate("gateway-1.crt"), identity.x509Certificate());
  }

  @Test
  void readsFieldsOfStoredCertificate() throws Exception {
    X509Certificate own = identity.x509Certificate();
    assertEquals("gateway-1", NodeIdentity.commonName(own));
    assertEquals("054cbfcf4fd2dd4c", NodeIdentity.serial(own));
    assertEquals("CN=golden-authority", own.getIssuerX500Principal().getName());
    assertEquals("CN=gateway-1", own.getSubjectX500Principal().getName());
    assertEquals(Instant.parse("2026-12-02T13:19:40Z"), own.getNotBefore().toInstant());
    assertEquals(Instant.parse("2126-11-07T13:24:40Z"), own.getNotAfter().toInstant());
    assertEquals(-1, own.getBasicConstraints());
    assertEquals(231, own.getEncoded().length);
    assertEquals(0xab31_da75, GossipCodec.certificateChecksum(own.getEncoded()));
    assertArrayEquals(pemBlock("gateway-1.pub", "PUBLIC KEY"), own.getPublicKey().getEncoded());
  }

  @Test
  void readsFieldsOfStoredAuthority() throws Exception {
    X509Certificate authority = certificate("ca.crt");
    assertEquals("golden-authority", NodeIdentity.commonName(authority));
    assertEquals("2cb6f520cd2cd91e", NodeIdentity.serial(authority));
    assertEquals(Instant.parse("2026-12-02T13:19:39Z"), authority.getNotBefore().toInstant());
    assertEquals(Instant.parse("2126-11-08T13:24:39Z"), authority.getNotAfter().toInstant());
    assertEquals(0, authority.getBasicConstraints());
  }

  @Test
  void readsSeedOfStoredPrivateKey() throws Exception {
    EdECPrivateKey key =
        (EdECPrivateKey)
            KeyFactory.getInstance(NodeIdentity.ALGORITHM)
                .generatePrivate(
                    new PKCS8EncodedKeySpec(Pem.readPrivate(folder.resolve("gateway-1.key"))));
    assertEquals("Ed25519", key.getParams().getName());
    assertEquals(
        "843d668890a23d849c010502a8a6e0aea6c1506ee074ffc9447ceee78b791414",
        HexFormat.of().formatHex(key.getBytes().orElseThrow()));
  }

  @Test
  void appliesTrustAndRevocationOfStoredFiles() throws Exception {
    X509Certificate second = certificate("gateway-2.crt");
    assertTrue(identity.trusts(certificate("gateway-1.crt"), SENT_AT_MILLIS));
    assertTrue(identity.trusts(second, SENT_AT_MILLIS));
    assertFalse(identity.trusts(certificate("ca.crt"), SENT_AT_MILLIS), "an authority");
    long lastValid = Instant.parse("2126-11-06T13:24:41Z").toEpochMilli();
    assertTrue(identity.trusts(second, lastValid));
    assertFalse(identity.trusts(second, lastValid + 1_000));
    assertFalse(identity.isRevoked(certificate("gateway-1.crt")));
    assertTrue(identity.isRevoked(second));
    assertEquals(
        NodeIdentity.serial(second) + "  # " + NodeIdentity.commonName(second) + "\n",
        GoldenResources.text("identity/revoked.txt"));
  }

  @Test
  void writesKeysAndCertificatesAsStored() throws Exception {
    for (String name : List.of("ca.crt", "gateway-1.crt", "gateway-2.crt")) {
      assertEquals(
          GoldenResources.text("identity/" + name),
          Pem.text("CERTIFICATE", certificate(name).getEncoded()));
    }
    KeyFactory keys = KeyFactory.getInstance(NodeIdentity.ALGORITHM);
    byte[] privateKey =
        keys.generatePrivate(
                new PKCS8EncodedKeySpec(Pem.readPrivate(folder.resolve("gateway-1.key"))))
            .getEncoded();
    assertEquals(
        GoldenResources.text("identity/gateway-1.key"), Pem.text("PRIVATE KEY", privateKey));
    PublicKey publicKey =
        keys.generatePublic(new X509EncodedKeySpec(pemBlock("gateway-1.pub", "PUBLIC KEY")));
    assertEquals(
        GoldenResources.text("identity/gateway-1.pub"),
        Pem.text("PUBLIC KEY", publicKey.getEncoded()));
  }

  @Test
  void signsDatagramToStoredBytes() throws Exception {
    byte[] stored = GoldenResources.hex("identity/signed-ping.hex");
    assertArrayEquals(stored, signedPing(identity)); // RFC 8032: signatures are deterministic
    int signed = stored.length - GossipCodec.SIGNATURE_BYTES;
    byte[] signature = Arrays.copyOfRange(stored, signed, stored.length);
    assertTrue(
        NodeIdentity.verify(identity.x509Certificate().getPublicKey(), stored, signed, signature));
    signature[0] ^= 1;
    assertFalse(
        NodeIdentity.verify(identity.x509Certificate().getPublicKey(), stored, signed, signature));
  }

  @Test
  void acceptsStoredDatagram() throws Exception {
    long nowNanos = SENT_AT_MILLIS * MILLISECOND_NANOS;
    DatagramVerifier verifier =
        new DatagramVerifier(CLUSTER, identity, 1_000 * MILLISECOND_NANOS, false, () -> nowNanos);
    VerifiedDatagram verified =
        verifier.verify(nowNanos, 9, GoldenResources.hex("identity/signed-ping.hex")).orElse(null);
    assertNotNull(verified, () -> verifier.rejections().toString());
    assertEquals(PING, verified.packet());
    assertEquals(SENT_AT_MILLIS, verified.sentAtMillis());
    assertEquals(9, verified.source());
    assertEquals(0, verified.knownCertificate());
    assertEquals(
        GossipCodec.certificateChecksum(identity.encodedCertificate()),
        verifier.knownCertificate("gateway-1"));
    assertEquals(Map.of(), verifier.rejections());
  }
}
