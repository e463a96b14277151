package reachloom.gossip.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reachloom.config.ConfigurationSettings;
import reachloom.config.GossipSettings;
import reachloom.gateway.EventLoop;
import reachloom.gossip.GossipProtocol;
import reachloom.gossip.Packet;
import reachloom.membership.MemberState;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipUpdate;
import reachloom.peerreport.OutcomeWindow;
import reachloom.peerreport.PeerReport;

/**
 * Compares the text that {@code reachloom gossip status} prints with {@code golden/status}, which
 * commit 09d85ed wrote: operators read it, and scripts extract values from it. Only this test uses
 * the keys and certificates in that folder.
 *
 * <p>The node's events happen {@link #AGE_SECONDS} in the past of its clock, so that its state is
 * the same in each run. Values that depend on the time of the run are replaced by words in braces:
 * the incarnation, the wall clock and, for the status over the network, the counters of datagrams.
 */
class StatusGoldenTest {
  private static final Path ROOT = Path.of("src/test/resources/golden/status");
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final long TICK_NANOS = SECOND_NANOS / 10;
  private static final long AGE_SECONDS = 200;
  private static final Pattern AGE = Pattern.compile(" for (\\d+) s standing");
  private static final long SEED = 7;
  private static final int BYTES_PER_SECOND = 4_096;
  private static final int PLACE = 0x0207;
  private static final long LOOPBACK = 0x7f000001L << 16;

  private static final Locale DEFAULT_LOCALE = Locale.getDefault();

  @TempDir Path folder;

  private final EventLoop loop = new EventLoop();
  private GossipNode node;
  private long nowNanos;

  /** The time of the event loop at which the ages in the recorded text are exact. */
  private long referenceNanos;

  /** Reputations and levels are formatted in the default locale. */
  @BeforeAll
  static void useEnglishLocale() {
    Locale.setDefault(Locale.ENGLISH);
  }

  @AfterAll
  static void restoreLocale() {
    Locale.setDefault(DEFAULT_LOCALE);
  }

  /** Version control keeps no permissions, and a key that other users may read is rejected. */
  @BeforeEach
  void copyKeys() throws IOException {
    for (String key : List.of("g1.key", "asker.key")) {
      Files.copy(ROOT.resolve(key), folder.resolve(key));
      Files.setPosixFilePermissions(
          folder.resolve(key), PosixFilePermissions.fromString("rw-------"));
    }
  }

  @AfterEach
  void close() {
    node.abandon();
    loop.end();
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    }
  }

  private GossipSettings settings(String certificate) throws IOException {
    return new GossipSettings(
        "golden",
        freeAddress(),
        BYTES_PER_SECOND,
        SECOND_NANOS,
        folder.resolve("g1.key"),
        ROOT.resolve(certificate),
        List.of(ROOT.resolve("ca.crt")),
        null,
        List.of());
  }

  private void open(GossipSettings settings) throws Exception {
    node = new GossipNode(loop, settings, NodeIdentity.read(settings), SEED, (engine, level) -> {});
  }

  private GossipProtocol gossip() {
    return node.gossip();
  }

  /** Delivers a packet of a member whose address is an unused port of the loopback interface. */
  private void receive(
      String sender,
      int place,
      MembershipMessage message,
      List<MembershipUpdate> updates,
      List<PeerReport> reports) {
    long address = address(sender);
    gossip()
        .receive(
            nowNanos, new Packet(sender, address, place, 5, message, updates, reports, List.of()));
  }

  private static long address(String member) {
    return LOOPBACK | Integer.parseInt(member.substring(1));
  }

  private void suspect(String accuser, String member) {
    MembershipUpdate update =
        new MembershipUpdate(member, address(member), 5, MemberState.SUSPECT, accuser);
    receive(accuser, 0, new MembershipMessage.PayloadOnly(), List.of(update), List.of());
  }

  private void report(String peer, PeerReport... reports) {
    receive(peer, 0, new MembershipMessage.PayloadOnly(), List.of(), List.of(reports));
  }

  private static PeerReport failed(String engine) {
    return new PeerReport(engine, 0, 0, 3, 0, 0);
  }

  private void advanceSeconds(long seconds) {
    for (long until = nowNanos + seconds * SECOND_NANOS; nowNanos < until; ) {
      nowNanos += TICK_NANOS;
      gossip().tick(nowNanos);
    }
  }

  /**
   * Creates members in each state, and engines about which peers report failures, successes and
   * contradictions.
   */
  private void createMembersAndEngines() {
    referenceNanos = loop.now() / SECOND_NANOS * SECOND_NANOS;
    nowNanos = referenceNanos - AGE_SECONDS * SECOND_NANOS;
    for (int i = 2; i <= 14; i++) {
      receive(
          "g" + i, i == 8 ? PLACE : 0, new MembershipMessage.PayloadOnly(), List.of(), List.of());
    }
    receive("g5", 0, new MembershipMessage.Leave(), List.of(), List.of());
    suspect("g2", "g4");
    advanceSeconds(30); // longer than g4 has to refute the suspicion
    suspect("g2", "g3");
    for (int i = 1; i <= 8; i++) {
      gossip().addEngine("s-0000000" + i, 0);
    }
    gossip().recordOutcome(nowNanos, "s-00000003", OutcomeWindow.Observation.SERVED);
    gossip().recordOutcome(nowNanos, "s-00000003", OutcomeWindow.Observation.SERVED);
    report("g2", failed("s-00000001"), failed("s-00000002"));
    report("g6", failed("s-00000001"), failed("s-00000003"));
    report("g7", new PeerReport("s-00000001", 0, 5, 0, 0, 0));
    advanceSeconds(1);
  }

  /**
   * Replaces values that depend on the time of the run. An age counts as the recorded one if it
   * exceeds that by at most the time since {@link #referenceNanos}.
   */
  private String normalize(List<String> lines, String recorded) {
    Iterator<String> recordedAges = AGE.matcher(recorded).results().map(m -> m.group(1)).iterator();
    double elapsedSeconds = (loop.now() - referenceNanos) / (double) SECOND_NANOS;
    List<String> normalized = new ArrayList<>();
    for (String line : lines) {
      String ownIncarnation = "incarnation " + gossip().membership().incarnation() + " health";
      String text = line.replace(ownIncarnation, "incarnation {start} health");
      text = text.replaceFirst("wall clock, \\d{4}-\\S+Z$", "wall clock, {now}");
      Matcher age = AGE.matcher(text);
      if (age.find() && recordedAges.hasNext()) {
        String expected = recordedAges.next();
        long excess = Long.parseLong(age.group(1)) - Long.parseLong(expected);
        if (excess >= 0 && excess <= Math.ceil(elapsedSeconds)) {
          text = age.replaceFirst(" for " + expected + " s standing");
        }
      }
      normalized.add(text + "\n");
    }
    return String.join("", normalized);
  }

  /** Waits for the sending thread, which counts datagrams only when it has sent them. */
  private void awaitSentDatagrams(String recorded) throws InterruptedException {
    Matcher count = Pattern.compile("sent (\\d+), received").matcher(recorded);
    assertTrue(count.find());
    for (int i = 0; i < 400 && node.traffic().sent() < Long.parseLong(count.group(1)); i++) {
      Thread.sleep(25);
    }
  }

  private static String golden(String name) throws IOException {
    return Files.readString(ROOT.resolve(name));
  }

  @Test
  void listsMembersAndEngines() throws Exception {
    open(settings("g1.crt"));
    createMembersAndEngines();
    String recorded = golden("members.txt");
    awaitSentDatagrams(recorded);
    assertEquals(recorded, normalize(node.status().lines(), recorded));
  }

  @Test
  void reportsRevisionAndPlacesOfIssuer() throws Exception {
    GossipSettings withoutConfiguration = settings("g1.crt");
    ConfigurationSettings.Issuer issuer =
        new ConfigurationSettings.Issuer(
            "g1", withoutConfiguration.listen(), ROOT.resolve("g1.crt"));
    open(withoutConfiguration.withConfiguration(new ConfigurationSettings(PLACE, List.of(issuer))));
    nowNanos = loop.now();
    referenceNanos = nowNanos;
    receive("g2", PLACE, new MembershipMessage.PayloadOnly(), List.of(), List.of());
    receive("g3", 0x0101, new MembershipMessage.PayloadOnly(), List.of(), List.of());
    gossip().tick(nowNanos);
    String recorded = golden("issuer.txt");
    awaitSentDatagrams(recorded);
    assertEquals(recorded, normalize(node.status().lines(), recorded));
  }

  @Test
  void warnsOfExpiredCertificate() throws Exception {
    open(settings("g1-expired.crt"));
    String recorded = golden("expired-certificate.txt");
    assertEquals(recorded, normalize(node.status().lines(), recorded));
  }

  @Test
  void statusRequestReturnsSameTextInPages() throws Exception {
    GossipSettings settings = settings("g1.crt");
    open(settings);
    createMembersAndEngines();
    Thread thread = new Thread(loop);
    thread.setDaemon(true);
    thread.start();
    String text =
        StatusClient.fetchStatus(
            settings.listen(),
            "golden",
            folder.resolve("asker.key"),
            ROOT.resolve("asker.crt"),
            ROOT.resolve("ca.crt"));
    assertTrue(text.length() > 900, "more than one page");
    String recorded = golden("members.txt");
    assertEquals(
        withoutCounters(recorded), withoutCounters(normalize(text.lines().toList(), recorded)));
  }

  private static String withoutCounters(String text) {
    return text.replaceFirst("bytes sent \\d+ cap", "bytes sent {n} cap")
        .replaceFirst(
            "dropped 0, sent \\d+, received \\d+ of \\d+ bytes",
            "dropped 0, sent {n}, received {n} of {n} bytes");
  }
}
