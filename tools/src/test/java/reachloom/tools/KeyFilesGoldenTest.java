package reachloom.tools;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reachloom.gossip.net.NodeIdentity;
import reachloom.gossip.net.Pem;

/**
 * Compares the key, certificate and revocation files of {@code reachloom gossip} and the store of
 * {@code reachloom revision init} with files written by an earlier version: the same input gives
 * the same content, except for serial numbers, dates and signatures.
 */
class KeyFilesGoldenTest {
  private static final Path GOLDEN = Path.of("../gateway/src/test/resources/golden");

  @TempDir Path folder;

  @BeforeEach
  void copyKeys() throws IOException {
    try (Stream<Path> files = Files.list(GOLDEN.resolve("keys"))) {
      for (Path file : files.toList()) {
        String name = file.getFileName().toString();
        Path copy = Files.copy(file, folder.resolve(name));
        Files.setPosixFilePermissions(
            copy,
            PosixFilePermissions.fromString(name.endsWith(".key") ? "rw-------" : "rw-r--r--"));
      }
    }
  }

  private String path(String file) {
    return folder.resolve(file).toString();
  }

  private String gossip(String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    assertEquals(
        0, GossipTool.run(args, new PrintStream(out), new PrintStream(err)), err::toString);
    return out.toString(StandardCharsets.UTF_8);
  }

  private X509Certificate certificate(String file) throws Exception {
    return NodeIdentity.certificate(Pem.read(folder.resolve(file), "CERTIFICATE"));
  }

  @Test
  void showsStoredCertificateWithSameText() throws Exception {
    assertEquals(
        Files.readString(folder.resolve("c1.show")),
        gossip("show", "--certificate", path("c1.crt")));
  }

  @Test
  void signsSameKeyWithSameCertificateContent() throws Exception {
    gossip(
        "sign",
        "--ca",
        path("ca"),
        "--public",
        path("c1.pub"),
        "--name",
        "c1",
        "--days",
        "36500",
        "--out",
        path("again.crt"));
    assertSameExceptSerialDatesAndSignature(certificate("c1.crt"), certificate("again.crt"));
    certificate("again.crt").verify(certificate("ca.crt").getPublicKey());
  }

  @Test
  void createsAuthorityWithSameCertificateStructure() throws Exception {
    gossip("ca", "--name", "golden-ca", "--out", path("new"), "--days", "36500");
    X509Certificate golden = certificate("ca.crt");
    X509Certificate created = certificate("new.crt");
    assertEquals(golden.getPublicKey().getAlgorithm(), created.getPublicKey().getAlgorithm());
    assertSameStructure(golden, created);
    assertArrayEquals(
        golden.getExtensionValue("2.5.29.19"), created.getExtensionValue("2.5.29.19"));
    assertEquals(
        PosixFilePermissions.fromString("rw-------"),
        Files.getPosixFilePermissions(folder.resolve("new.key")));
  }

  @Test
  void writesKeyFilesWithSameLabelsAndLengths() throws Exception {
    gossip("key", "--out", path("new"));
    for (String suffix : List.of(".key", ".pub")) {
      List<String> golden = Files.readAllLines(folder.resolve("c1" + suffix));
      List<String> created = Files.readAllLines(folder.resolve("new" + suffix));
      assertEquals(golden.get(0), created.get(0));
      assertEquals(golden.get(golden.size() - 1), created.get(created.size() - 1));
      assertEquals(
          golden.stream().map(String::length).toList(),
          created.stream().map(String::length).toList());
    }
  }

  private static void assertSameExceptSerialDatesAndSignature(
      X509Certificate golden, X509Certificate created) {
    assertEquals(golden.getPublicKey(), created.getPublicKey());
    assertSameStructure(golden, created);
    assertNull(created.getExtensionValue("2.5.29.19"));
  }

  private static void assertSameStructure(X509Certificate golden, X509Certificate created) {
    assertEquals(golden.getVersion(), created.getVersion());
    assertEquals(golden.getSigAlgOID(), created.getSigAlgOID());
    assertArrayEquals(
        golden.getIssuerX500Principal().getEncoded(),
        created.getIssuerX500Principal().getEncoded());
    assertArrayEquals(
        golden.getSubjectX500Principal().getEncoded(),
        created.getSubjectX500Principal().getEncoded());
    assertEquals(golden.getCriticalExtensionOIDs(), created.getCriticalExtensionOIDs());
    assertEquals(golden.getNonCriticalExtensionOIDs(), created.getNonCriticalExtensionOIDs());
    assertEquals(golden.getBasicConstraints(), created.getBasicConstraints());
    assertEquals(
        Duration.between(golden.getNotBefore().toInstant(), golden.getNotAfter().toInstant()),
        Duration.between(created.getNotBefore().toInstant(), created.getNotAfter().toInstant()));
  }

  @Test
  void appendsRevocationWithSameBytes() throws Exception {
    gossip("revoke", "--certificate", path("c2.crt"), "--list", path("list.txt"));
    assertEquals(
        Files.readString(folder.resolve("revoked.txt")),
        Files.readString(folder.resolve("list.txt")));
  }

  @Test
  void createsIssuerStoreWithSameBytes() throws Exception {
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    String[] args = {"init", "--settings", path("c1.xml"), "--store", path("store")};
    assertEquals(
        0,
        RevisionTool.run(args, new PrintStream(new ByteArrayOutputStream()), new PrintStream(err)),
        err::toString);
    assertArrayEquals(
        Files.readAllBytes(GOLDEN.resolve("store/first/issuer.state")),
        Files.readAllBytes(folder.resolve("store/issuer.state")));
  }
}
