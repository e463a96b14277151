package reachloom.gossip.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.HexFormat;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reachloom.config.ConfigException;
import reachloom.config.ConfigurationSettings;
import reachloom.config.GossipSettings;
import reachloom.config.LocalSettings;
import reachloom.revision.SignatureScheme;

/**
 * Signs and verifies a vote whose signature an earlier version stored; signing again must give the
 * same bytes (Ed25519 is deterministic). A difference means that members of two versions would
 * reject the votes of each other's issuers.
 */
class IssuerSignaturesGoldenTest {
  private static final long VALID_AT_MILLIS = 1_800_000_000_000L;

  @TempDir private Path folder;
  private byte[] chain;
  private byte[] vote;
  private SignatureScheme signatures;

  @BeforeEach
  void readStored() throws IOException, ConfigException {
    chain = stored("revision-messages/revision-chain");
    vote = stored("revision-messages/vote-of-c1");
    for (String name : new String[] {"c1.xml", "c1.key", "c1.crt", "c2.crt", "ca.crt"}) {
      try (InputStream in = resource("keys/" + name)) {
        Files.copy(in, folder.resolve(name));
      }
    }
    Files.setPosixFilePermissions(
        folder.resolve("c1.key"), PosixFilePermissions.fromString("rw-------"));
    signatures = read(VALID_AT_MILLIS);
  }

  private SignatureScheme read(long atMillis) throws ConfigException {
    GossipSettings settings =
        LocalSettings.read(folder.resolve("c1.xml").toString(), Map.of()).gossip().orElseThrow();
    ConfigurationSettings issuers = settings.configuration().orElseThrow();
    return IssuerSignatures.read(issuers, NodeIdentity.read(settings), atMillis);
  }

  @Test
  void verifiesStoredVote() {
    assertTrue(signatures.verify("c1", chain, vote));
  }

  @Test
  void signsVoteToStoredBytes() {
    assertArrayEquals(vote, signatures.sign(chain));
  }

  @Test
  void rejectsVoteOfAnotherIssuerOrChain() {
    assertFalse(signatures.verify("c2", chain, vote));
    assertFalse(signatures.verify("c3", chain, vote), "not an issuer");
    byte[] otherChain = chain.clone();
    otherChain[31]++;
    assertFalse(signatures.verify("c1", otherChain, vote));
    byte[] otherVote = vote.clone();
    otherVote[0]++;
    assertFalse(signatures.verify("c1", chain, otherVote));
  }

  @Test
  void rejectsCertificateOfAnotherName() throws IOException {
    Files.copy(
        folder.resolve("c1.crt"), folder.resolve("c2.crt"), StandardCopyOption.REPLACE_EXISTING);
    ConfigException e = assertThrows(ConfigException.class, () -> read(VALID_AT_MILLIS));
    assertEquals(
        folder.resolve("c2.crt") + ": is the certificate of 'c1', not of issuer 'c2'",
        e.getMessage());
  }

  @Test
  void rejectsCertificateThatIsNotValidYet() {
    ConfigException e = assertThrows(ConfigException.class, () -> read(1_000_000_000_000L));
    assertEquals(
        folder.resolve("c1.crt") + ": not issued by a trusted authority, not valid now, or revoked",
        e.getMessage());
  }

  @Test
  void rejectsRevokedCertificate() throws IOException {
    try (InputStream in = resource("keys/revoked.txt")) { // lists the certificate of c2
      Files.copy(in, folder.resolve("revoked.txt"));
    }
    ConfigException e = assertThrows(ConfigException.class, () -> read(VALID_AT_MILLIS));
    assertEquals(
        folder.resolve("c2.crt") + ": not issued by a trusted authority, not valid now, or revoked",
        e.getMessage());
  }

  private static InputStream resource(String name) {
    return IssuerSignaturesGoldenTest.class.getResourceAsStream("/golden/" + name);
  }

  /** Reads a resource of hexadecimal digits, with comments from '#' to the end of a line. */
  private static byte[] stored(String name) throws IOException {
    try (InputStream in = resource(name + ".hex")) {
      String text = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
      return HexFormat.of().parseHex(text.replaceAll("#.*", "").replaceAll("\\s", ""));
    }
  }
}
