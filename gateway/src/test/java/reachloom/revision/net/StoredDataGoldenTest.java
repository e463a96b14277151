package reachloom.revision.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import reachloom.config.GossipSettings;
import reachloom.gossip.net.NodeIdentity;
import reachloom.gossip.net.Pem;
import reachloom.revision.Ballot;
import reachloom.revision.ConsensusState;
import reachloom.revision.ConsensusState.AcceptedProposal;
import reachloom.revision.ConsensusState.ChosenRevision;
import reachloom.revision.ProposalResult;
import reachloom.revision.Revision;
import reachloom.revision.RevisionMessage;
import reachloom.revision.Vote;
import reachloom.time.WallClock;

/**
 * Guards the formats of the files that an issuer stores. The files under {@code
 * src/test/resources/golden} were written by an earlier version: each is read with all its fields,
 * and the same content is written with the same bytes.
 */
class StoredDataGoldenTest {
  private static final Path GOLDEN = Path.of("src/test/resources/golden");
  private static final Path STORES = GOLDEN.resolve("store");
  private static final Path SPOOL = GOLDEN.resolve("spool");
  private static final Path KEYS = GOLDEN.resolve("keys");
  private static final String ISSUER = "c1";
  private static final String CLUSTER = "golden";
  private static final String STATE_FILE = "issuer.state";
  private static final String ALGORITHM = "Ed25519";

  /** The prefix of a revision's chain in the bytes that an issuer signs. */
  private static final byte[] PURPOSE =
      "reachloom revision 1\n".getBytes(StandardCharsets.US_ASCII);

  private static final byte[] FIRST_DOCUMENT = utf8("{\"changelog\": \"127.0.0.1:7001\"}");
  private static final byte[] SECOND_DOCUMENT = utf8("{\"note\": \"gr\u00fc\u00df \u20ac\"}\n");
  private static final byte[] THIRD_DOCUMENT = utf8("{\"changelog\": null}");

  private static final Revision FIRST =
      Revision.after(null, FIRST_DOCUMENT, 1_700_000_000_123L, "c1");
  private static final Revision SECOND =
      Revision.after(FIRST, SECOND_DOCUMENT, 1_700_000_100_456L, "c2");
  private static final Revision THIRD =
      Revision.after(SECOND, THIRD_DOCUMENT, 1_700_000_200_789L, "c3");

  @TempDir Path folder;

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  // ---- The issuer's store ----

  /** Returns the contents of the stores, by the names of their directories. */
  static Map<String, ConsensusState> states() throws Exception {
    RevisionMessage.Notice second =
        new RevisionMessage.Notice(SECOND, List.of(vote("c1", SECOND), vote("c2", SECOND)));
    Map<String, ConsensusState> states = new LinkedHashMap<>();
    states.put("first", ConsensusState.initial());
    states.put(
        "accepted",
        new ConsensusState(
            new Ballot(12, "c3"),
            Optional.of(new AcceptedProposal(new Ballot(11, "c2"), THIRD, THIRD_DOCUMENT)),
            Optional.of(new ChosenRevision(second, Optional.of(SECOND_DOCUMENT))),
            1));
    states.put(
        "learning",
        new ConsensusState(
            Ballot.NONE,
            Optional.empty(),
            Optional.of(new ChosenRevision(second, Optional.empty())),
            ConsensusState.UNKNOWN_NUMBER));
    states.put(
        "rejoined",
        new ConsensusState(
            new Ballot(1L << 40, "c1"),
            Optional.empty(),
            Optional.of(new ChosenRevision(second, Optional.of(SECOND_DOCUMENT))),
            5));
    return states;
  }

  private static Vote vote(String issuer, Revision revision) throws Exception {
    Signature signature = Signature.getInstance(ALGORITHM);
    signature.initSign(privateKey(issuer));
    signature.update(PURPOSE);
    signature.update(revision.chain());
    return new Vote(issuer, signature.sign());
  }

  private static PrivateKey privateKey(String issuer) throws Exception {
    return KeyFactory.getInstance(ALGORITHM)
        .generatePrivate(
            new PKCS8EncodedKeySpec(Pem.read(KEYS.resolve(issuer + ".key"), "PRIVATE KEY")));
  }

  private static PublicKey publicKey(String issuer) throws Exception {
    return KeyFactory.getInstance(ALGORITHM)
        .generatePublic(
            new X509EncodedKeySpec(Pem.read(KEYS.resolve(issuer + ".pub"), "PUBLIC KEY")));
  }

  private Path copyOfStore(String store) throws IOException {
    Path copy = Files.createDirectory(folder.resolve(store));
    Files.copy(STORES.resolve(store).resolve(STATE_FILE), copy.resolve(STATE_FILE));
    return copy;
  }

  @ParameterizedTest
  @ValueSource(strings = {"first", "accepted", "learning", "rejoined"})
  void readsEachFieldOfStoredState(String store) throws Exception {
    ConsensusState expected = states().get(store);
    try (FileStore opened = FileStore.open(copyOfStore(store), ISSUER, CLUSTER)) {
      ConsensusState read = opened.load().orElseThrow();
      assertEquals(expected.promised(), read.promised());
      assertEquals(
          expected.accepted().map(AcceptedProposal::ballot),
          read.accepted().map(AcceptedProposal::ballot));
      assertSameRevision(
          expected.acceptedRevision().orElse(null), read.acceptedRevision().orElse(null));
      assertArrayEquals(
          expected.accepted().map(AcceptedProposal::document).orElse(null),
          read.accepted().map(AcceptedProposal::document).orElse(null));
      assertEquals(expected.newest().isPresent(), read.newest().isPresent());
      if (expected.newest().isPresent()) {
        assertSameRevision(expected.newest().get().revision(), read.newest().get().revision());
        assertSameVotes(expected.newest().get().notice(), read.newest().get().notice());
      }
      assertArrayEquals(
          expected.newest().flatMap(ChosenRevision::document).orElse(null),
          read.newest().flatMap(ChosenRevision::document).orElse(null));
      assertEquals(expected.firstVotingNumber(), read.firstVotingNumber());
    }
  }

  private static void assertSameRevision(Revision expected, Revision read) {
    if (expected == null) {
      assertNull(read);
      return;
    }
    assertEquals(expected.number(), read.number());
    assertArrayEquals(expected.previous(), read.previous());
    assertArrayEquals(expected.digest(), read.digest());
    assertEquals(expected.size(), read.size());
    assertEquals(expected.issuedAt(), read.issuedAt());
    assertEquals(expected.issuer(), read.issuer());
    assertArrayEquals(expected.chain(), read.chain());
  }

  private static void assertSameVotes(RevisionMessage.Notice expected, RevisionMessage.Notice read)
      throws Exception {
    assertEquals(
        expected.votes().stream().map(Vote::issuer).toList(),
        read.votes().stream().map(Vote::issuer).toList());
    for (Vote vote : read.votes()) {
      Signature signature = Signature.getInstance(ALGORITHM);
      signature.initVerify(publicKey(vote.issuer()));
      signature.update(PURPOSE);
      signature.update(read.revision().chain());
      assertTrue(signature.verify(vote.signature()), vote.issuer());
    }
  }

  @Test
  void computesSameChainsForStoredRevisions() {
    assertEquals(
        List.of(
            "4728e88f5ebb322405ffb9a1346be783edd03231d0a1446f1a036ac4c43500f0",
            "bf52d6bd8690dc9c20f1fc042456d629722145ecddbb3fcab819c78e48f3a183",
            "8918877ea59ac9b3233ddf2adb3b9bd2d5f487f8d699e3b368ba71c8c8f4e06d"),
        Stream.of(FIRST, SECOND, THIRD)
            .map(revision -> HexFormat.of().formatHex(revision.chain()))
            .toList());
  }

  @ParameterizedTest
  @ValueSource(strings = {"first", "accepted", "learning", "rejoined"})
  void writesSameBytesForSameState(String store) throws Exception {
    Path written = folder.resolve("written");
    try (FileStore created = FileStore.create(written, ISSUER, CLUSTER)) {
      assertTrue(created.save(states().get(store)));
    }
    assertArrayEquals(
        Files.readAllBytes(STORES.resolve(store).resolve(STATE_FILE)),
        Files.readAllBytes(written.resolve(STATE_FILE)));
    assertEquals(List.of("issuer.lock", STATE_FILE), names(written));
    assertEquals(0, Files.size(written.resolve("issuer.lock")));
  }

  @ParameterizedTest
  @ValueSource(strings = {"first", "accepted", "learning", "rejoined"})
  void keepsBytesWhenStateIsReadAndSaved(String store) throws Exception {
    Path copy = copyOfStore(store);
    try (FileStore opened = FileStore.open(copy, ISSUER, CLUSTER)) {
      assertTrue(opened.save(opened.load().orElseThrow()));
    }
    assertArrayEquals(
        Files.readAllBytes(STORES.resolve(store).resolve(STATE_FILE)),
        Files.readAllBytes(copy.resolve(STATE_FILE)));
  }

  @Test
  void createsStoreWithInitialState() throws Exception {
    Path written = folder.resolve("written");
    FileStore.create(written, ISSUER, CLUSTER).close();
    assertArrayEquals(
        Files.readAllBytes(STORES.resolve("first").resolve(STATE_FILE)),
        Files.readAllBytes(written.resolve(STATE_FILE)));
  }

  @Test
  void loadsEmptyStateWhenStateFileIsMissing() throws Exception {
    try (FileStore opened = FileStore.open(folder.resolve("lost"), ISSUER, CLUSTER)) {
      assertEquals(Optional.empty(), opened.load());
    }
    assertEquals(List.of("issuer.lock"), names(folder.resolve("lost")));
  }

  @Test
  void reportsInvalidStoreWithoutChangingIt() throws Exception {
    byte[] good = Files.readAllBytes(STORES.resolve("accepted").resolve(STATE_FILE));
    String consequence = "; the file is not used, and not replaced by a new state";
    assertEquals(
        "is not an issuer state file of this format version" + consequence,
        openingError(new byte[0]));
    assertEquals(
        "is not an issuer state file of this format version" + consequence,
        openingError(Arrays.copyOf(good, 50)));
    assertEquals(
        "is corrupt: its checksum does not match" + consequence,
        openingError(Arrays.copyOf(good, good.length - 1)));
    assertEquals(
        "is larger than 65536 bytes" + consequence, openingError(Arrays.copyOf(good, 65_537)));
    assertEquals(
        "belongs to issuer 'c1' of 'golden', not to 'c2' of 'golden'" + consequence,
        openingError(good, "c2", CLUSTER));
    assertEquals(
        "belongs to issuer 'c1' of 'golden', not to 'c1' of 'other'" + consequence,
        openingError(good, ISSUER, "other"));
    Path store = copyOfStore("first");
    assertEquals(
        store.resolve(STATE_FILE) + ": already exists; an issuer's store is created only once",
        assertThrows(StoreException.class, () -> FileStore.create(store, ISSUER, CLUSTER))
            .getMessage());
    try (FileStore used = FileStore.open(store, ISSUER, CLUSTER)) {
      assertEquals(
          used.directory().resolve("issuer.lock") + ": another process uses this store",
          assertThrows(StoreException.class, () -> FileStore.open(store, ISSUER, CLUSTER))
              .getMessage());
    }
  }

  private String openingError(byte[] stateBytes) throws IOException {
    return openingError(stateBytes, ISSUER, CLUSTER);
  }

  /**
   * Opens a store with these bytes as its state, and returns the error message without the path.
   */
  private String openingError(byte[] stateBytes, String issuer, String cluster) throws IOException {
    Path store = Files.createTempDirectory(folder, "invalid");
    Path file = Files.write(store.resolve(STATE_FILE), stateBytes);
    StoreException thrown =
        assertThrows(StoreException.class, () -> FileStore.open(store, issuer, cluster));
    String message = thrown.getMessage();
    assertEquals(file, thrown.file());
    assertTrue(thrown.field().isPresent(), message);
    assertTrue(message.startsWith(file + ": "), message);
    assertArrayEquals(stateBytes, Files.readAllBytes(file));
    return message.substring((file + ": ").length());
  }

  // ---- The operators' spool ----

  private static final RolloutStatus STATUS =
      new RolloutStatus(3, 7, 4, 1, List.of("g-05", "place 2.17"), 12_345);

  /** A document that the spool has passed on, and the receiver of its results. */
  private record Submission(String document, Consumer<ProposalResult> results) {}

  private Path copyOfSpool() throws IOException {
    Path copy = folder.resolve("spool");
    for (String directory : List.of("inbox", "taken")) {
      Files.createDirectories(copy.resolve(directory));
      for (String name : names(SPOOL.resolve("before").resolve(directory))) {
        Files.copy(
            SPOOL.resolve("before").resolve(directory).resolve(name),
            copy.resolve(directory).resolve(name));
      }
    }
    return copy;
  }

  private static void assertGolden(Path spool, String golden, String file) throws IOException {
    assertEquals(
        Files.readString(SPOOL.resolve(golden).resolve(file)),
        Files.readString(spool.resolve("outbox").resolve(file)));
  }

  private static List<String> names(Path directory) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.map(f -> f.getFileName().toString()).sorted().toList();
    }
  }

  @Test
  void writesResultsWithSameBytes() throws Exception {
    Path copy = copyOfSpool();
    Files.setLastModifiedTime(
        copy.resolve("inbox/05-stale.json"),
        FileTime.fromMillis(WallClock.unixMillis() - 3_600_000));
    SpoolDirectory spool = new SpoolDirectory(copy);
    assertEquals(List.of(), names(copy.resolve("taken")));
    assertGolden(copy, "after", "00-cut-off.result");

    List<Submission> submissions = new ArrayList<>();
    spool.poll(
        1_000, (document, results) -> submissions.add(new Submission(text(document), results)));
    assertEquals(
        List.of("{\"changelog\": \"127.0.0.1:7001\"}", "{\"changelog\": null}\n"),
        submissions.stream().map(Submission::document).toList());
    assertEquals(List.of(".06-being-written.next"), names(copy.resolve("inbox")));
    assertEquals(List.of("01-issued.json", "04-withdrawn.json"), names(copy.resolve("taken")));
    for (String name : List.of("02-no-object.result", "03-empty.result")) {
      assertGolden(copy, "after", name);
    }
    String stale = Files.readString(copy.resolve("outbox/05-stale.result"));
    assertEquals(
        Files.readString(SPOOL.resolve("after/05-stale.result")),
        stale.replaceFirst("for \\d+ s", "for 3600 s"));

    Consumer<ProposalResult> first = submissions.get(0).results();
    first.accept(
        new ProposalResult(
            ProposalResult.Kind.NO_MAJORITY, 3, "it was proposed and may yet be issued"));
    assertGolden(copy, "between", "01-issued.result");
    assertTrue(Files.exists(copy.resolve("taken/01-issued.json")));
    first.accept(new ProposalResult(ProposalResult.Kind.ISSUED, 3, "issued as revision 3"));
    submissions
        .get(1)
        .results()
        .accept(new ProposalResult(ProposalResult.Kind.STOOD_STILL, 0, "it is withdrawn"));
    for (String name : names(SPOOL.resolve("after"))) {
      if (!name.equals("05-stale.result")) {
        assertGolden(copy, "after", name);
      }
    }
    assertEquals(names(SPOOL.resolve("after")), names(copy.resolve("outbox")));
    assertEquals(List.of(), names(copy.resolve("taken")));
  }

  private static String text(byte[] document) {
    return new String(document, StandardCharsets.UTF_8);
  }

  @Test
  void readsAllFieldsOfResult() throws Exception {
    JsonNode result = json(SPOOL.resolve("between/01-issued.result"));
    assertEquals(
        new SpoolResult("NO_MAJORITY", 3, "it was proposed and may yet be issued", false),
        SpoolResult.fromJson(result));
    assertEquals(4, result.size());
    assertEquals("NO_MAJORITY", result.path("kind").asText());
    assertEquals(3, result.path("number").asLong());
    assertEquals("it was proposed and may yet be issued", result.path("text").asText());
    assertFalse(result.path("last").asBoolean(true));
    assertTrue(json(SPOOL.resolve("after/01-issued.result")).path("last").asBoolean());
  }

  @Test
  void keepsNamesOfResultKinds() {
    assertEquals(
        "[ISSUED, SUPERSEDED, OVERTAKEN, NO_MAJORITY, STOOD_STILL, BAD_SIZE, NOT_SAVED, ABSTAINS]",
        Arrays.toString(ProposalResult.Kind.values()));
  }

  @Test
  void readsAndWritesStatusWithSameBytes() throws Exception {
    RolloutStatus read = RolloutStatus.fromJson(json(SPOOL.resolve("status.json")));
    assertEquals(STATUS.number(), read.number());
    assertEquals(STATUS.members(), read.members());
    assertEquals(STATUS.inForce(), read.inForce());
    assertEquals(STATUS.refused(), read.refused());
    assertEquals(STATUS.lacking(), read.lacking());
    assertEquals(STATUS.longestMillis(), read.longestMillis());
    new SpoolDirectory(folder).writeStatus(STATUS);
    assertEquals(
        Files.readString(SPOOL.resolve("status.json")),
        Files.readString(folder.resolve("status.json")));
    assertEquals(
        "revision 3 is in force at 4 of 7 members, refused by 1, "
            + "lacking at g-05, place 2.17 for 12345 ms",
        read.toString());
  }

  private static JsonNode json(Path file) throws IOException {
    return new ObjectMapper().readTree(Files.readAllBytes(file));
  }

  // ---- Keys and certificates ----

  /**
   * Copies all key files; private keys are readable by their owner only, as {@link Pem} requires.
   */
  private Path copyOfKeys() throws IOException {
    Path copy = Files.createDirectory(folder.resolve("keys"));
    for (String name : names(KEYS)) {
      Path file = Files.copy(KEYS.resolve(name), copy.resolve(name));
      Files.setPosixFilePermissions(
          file, PosixFilePermissions.fromString(name.endsWith(".key") ? "rw-------" : "rw-r--r--"));
    }
    return copy;
  }

  @ParameterizedTest
  @ValueSource(strings = {"c1", "c2"})
  void readsAndWritesKeysWithSameBytes(String name) throws Exception {
    Path file = copyOfKeys().resolve(name + ".key");
    PrivateKey key =
        KeyFactory.getInstance(ALGORITHM)
            .generatePrivate(new PKCS8EncodedKeySpec(Pem.readPrivate(file)));
    assertEquals(Files.readString(file), Pem.text("PRIVATE KEY", key.getEncoded()));
    assertEquals(
        Files.readString(KEYS.resolve(name + ".pub")),
        Pem.text("PUBLIC KEY", publicKey(name).getEncoded()));
    Signature signature = Signature.getInstance(ALGORITHM);
    signature.initSign(key);
    signature.update(PURPOSE);
    byte[] signed = signature.sign();
    signature.initVerify(publicKey(name));
    signature.update(PURPOSE);
    assertTrue(signature.verify(signed));
  }

  @ParameterizedTest
  @CsvSource({
    "ca, golden-ca, 24d4c96ef24d9487, 2126-11-08T13:25:19Z",
    "c1, c1,        00f86699b03066f4, 2126-11-08T13:25:20Z",
    "c2, c2,        00c155043ed3cbc9, 2126-11-08T13:25:21Z"
  })
  void readsAndWritesCertificatesWithSameBytes(String file, String name, String serial, Instant end)
      throws Exception {
    Path path = KEYS.resolve(file + ".crt");
    X509Certificate certificate = NodeIdentity.certificate(Pem.read(path, "CERTIFICATE"));
    assertEquals(name, NodeIdentity.commonName(certificate));
    assertEquals("CN=golden-ca", certificate.getIssuerX500Principal().getName());
    assertEquals(serial, NodeIdentity.serial(certificate));
    assertEquals(end, certificate.getNotAfter().toInstant());
    assertEquals(file.equals("ca") ? 0 : -1, certificate.getBasicConstraints());
    if (!file.equals("ca")) {
      assertEquals(publicKey(file), certificate.getPublicKey());
    }
    assertEquals(Files.readString(path), Pem.text("CERTIFICATE", certificate.getEncoded()));
  }

  @Test
  void readsIdentityAndRevocationsFromSettings() throws Exception {
    GossipSettings settings = IssuerServer.readSettings(copyOfKeys().resolve("c1.xml").toString());
    assertEquals(CLUSTER, settings.cluster());
    NodeIdentity identity = NodeIdentity.read(settings);
    assertEquals("c1", identity.name());
    long time = Instant.parse("2030-01-01T00:00:00Z").toEpochMilli();
    X509Certificate own = identity.x509Certificate();
    X509Certificate other =
        NodeIdentity.certificate(Pem.read(KEYS.resolve("c2.crt"), "CERTIFICATE"));
    assertTrue(identity.trusts(own, time));
    assertTrue(identity.trusts(other, time));
    assertFalse(identity.isRevoked(own));
    assertTrue(identity.isRevoked(other));
  }
}
