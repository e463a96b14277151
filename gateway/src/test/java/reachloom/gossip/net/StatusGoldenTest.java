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
 * The text that {@code reachloom gossip status} prints, against {@code golden/status}, which was
 * written by commit 09d85ed: operators read it, and scripts cut values out of it. The keys and
 * certificates beside it serve this test alone.
 *
 * <p>The node's own events lie {@link #AGE_SECONDS} back on its clock, so that what it holds is the
 * same in each run. What depends on the time of the run is written as a word in braces: its
 * incarnation, the wall clock, and over the wire the counters of datagrams.
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

  private static final Locale USUAL = Locale.getDefault();

  @TempDir Path folder;

  private final EventLoop loop = new EventLoop();
  private GossipNode node;
  private long nowNanos;

  /** When the ages of the recorded text are right. */
  private long playedAtNanos;

  /** Shares and levels are formatted by the locale. */
  @BeforeAll
  static void useEnglishNumbers() {
    Locale.setDefault(Locale.ENGLISH);
  }

  @AfterAll
  static void restoreLocale() {
    Locale.setDefault(USUAL);
  }

  /** Version control keeps no permissions, and a key that others may read is not taken. */
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

  /** A packet of that member has come, which listens at a port of loopback where nobody does. */
  private void hear(
      String sender,
      int place,
      MembershipMessage message,
      List<MembershipUpdate> news,
      List<PeerReport> claims) {
    long address = address(sender);
    gossip()
        .receive(nowNanos, new Packet(sender, address, place, 5, message, news, claims, List.of()));
  }

  private static long address(String member) {
    return LOOPBACK | Integer.parseInt(member.substring(1));
  }

  private void accuse(String accuser, String member) {
    MembershipUpdate news =
        new MembershipUpdate(member, address(member), 5, MemberState.SUSPECT, accuser);
    hear(accuser, 0, new MembershipMessage.PayloadOnly(), List.of(news), List.of());
  }

  private void report(String peer, PeerReport... claims) {
    hear(peer, 0, new MembershipMessage.PayloadOnly(), List.of(), List.of(claims));
  }

  private static PeerReport failed(String engine) {
    return new PeerReport(engine, 0, 0, 3, 0, 0);
  }

  private void passSeconds(long seconds) {
    for (long until = nowNanos + seconds * SECOND_NANOS; nowNanos < until; ) {
      nowNanos += TICK_NANOS;
      gossip().tick(nowNanos);
    }
  }

  /**
   * Members in each state, and engines that others accuse, vouch for and are contradicted about.
   */
  private void play() {
    playedAtNanos = loop.now() / SECOND_NANOS * SECOND_NANOS;
    nowNanos = playedAtNanos - AGE_SECONDS * SECOND_NANOS;
    for (int i = 2; i <= 14; i++) {
      hear("g" + i, i == 8 ? PLACE : 0, new MembershipMessage.PayloadOnly(), List.of(), List.of());
    }
    hear("g5", 0, new MembershipMessage.Leave(), List.of(), List.of());
    accuse("g2", "g4");
    passSeconds(30); // more than g4 has to object
    accuse("g2", "g3");
    for (int i = 1; i <= 8; i++) {
      gossip().addEngine("s-0000000" + i, 0);
    }
    gossip().recordOutcome(nowNanos, "s-00000003", OutcomeWindow.Observation.SERVED);
    gossip().recordOutcome(nowNanos, "s-00000003", OutcomeWindow.Observation.SERVED);
    report("g2", failed("s-00000001"), failed("s-00000002"));
    report("g6", failed("s-00000001"), failed("s-00000003"));
    report("g7", new PeerReport("s-00000001", 0, 5, 0, 0, 0));
    passSeconds(1);
  }

  /**
   * The text with words for what depends on the time of the run; an age that is the recorded one
   * and as much above it as has passed since {@link #playedAtNanos} counts as the recorded one.
   */
  private String steady(List<String> lines, String recorded) {
    Iterator<String> ages = AGE.matcher(recorded).results().map(m -> m.group(1)).iterator();
    double passed = (loop.now() - playedAtNanos) / (double) SECOND_NANOS;
    List<String> steady = new ArrayList<>();
    for (String line : lines) {
      String own = "incarnation " + gossip().membership().incarnation() + " health";
      String text = line.replace(own, "incarnation {start} health");
      text = text.replaceFirst("wall clock, \\d{4}-\\S+Z$", "wall clock, {now}");
      Matcher age = AGE.matcher(text);
      if (age.find() && ages.hasNext()) {
        String expected = ages.next();
        long late = Long.parseLong(age.group(1)) - Long.parseLong(expected);
        if (late >= 0 && late <= Math.ceil(passed)) {
          text = age.replaceFirst(" for " + expected + " s standing");
        }
      }
      steady.add(text + "\n");
    }
    return String.join("", steady);
  }

  /** Datagrams are signed and sent by a thread of their own, so that their count comes late. */
  private void awaitDatagramsOf(String recorded) throws InterruptedException {
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
  void membersAndEnginesHaveALineEach() throws Exception {
    open(settings("g1.crt"));
    play();
    String recorded = golden("members.txt");
    awaitDatagramsOf(recorded);
    assertEquals(recorded, steady(node.status().lines(), recorded));
  }

  @Test
  void anIssuerTellsItsRevisionAndWhatIsKnownOfEachPlace() throws Exception {
    GossipSettings alone = settings("g1.crt");
    ConfigurationSettings.Issuer issuer =
        new ConfigurationSettings.Issuer("g1", alone.listen(), ROOT.resolve("g1.crt"));
    open(alone.with(new ConfigurationSettings(PLACE, List.of(issuer))));
    nowNanos = loop.now();
    playedAtNanos = nowNanos;
    hear("g2", PLACE, new MembershipMessage.PayloadOnly(), List.of(), List.of());
    hear("g3", 0x0101, new MembershipMessage.PayloadOnly(), List.of(), List.of());
    gossip().tick(nowNanos);
    String recorded = golden("issuer.txt");
    awaitDatagramsOf(recorded);
    assertEquals(recorded, steady(node.status().lines(), recorded));
  }

  @Test
  void anExpiredCertificateIsTold() throws Exception {
    open(settings("g1-expired.crt"));
    String recorded = golden("expired-certificate.txt");
    assertEquals(recorded, steady(node.status().lines(), recorded));
  }

  @Test
  void theSameTextGoesOverTheWireInPages() throws Exception {
    GossipSettings settings = settings("g1.crt");
    open(settings);
    play();
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
        withoutCounters(recorded), withoutCounters(steady(text.lines().toList(), recorded)));
  }

  private static String withoutCounters(String text) {
    return text.replaceFirst("bytes sent \\d+ cap", "bytes sent {n} cap")
        .replaceFirst(
            "dropped 0, sent \\d+, received \\d+ of \\d+ bytes",
            "dropped 0, sent {n}, received {n} of {n} bytes");
  }
}
