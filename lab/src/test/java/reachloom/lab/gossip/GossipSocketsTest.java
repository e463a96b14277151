package reachloom.lab.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reachloom.config.ConfigException;
import reachloom.config.EngineMember;
import reachloom.config.GossipSettings;
import reachloom.gateway.EventLoop;
import reachloom.gossip.Packet;
import reachloom.gossip.net.GossipNode;
import reachloom.gossip.net.NodeIdentity;
import reachloom.gossip.wire.DatagramEnvelope;
import reachloom.gossip.wire.GossipCodec;
import reachloom.membership.MembershipMessage;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;

/** Tests gossip with real sockets, keys and certificates on loopback. */
class GossipSocketsTest {
  private static final long PERIOD_NANOS = 100_000_000;
  private static final int CAP = 65_536; // bytes a second
  private static final String ENGINE = "s-00000001";

  @TempDir Path folder;

  private final class Instance {
    private final EventLoop loop = new EventLoop();
    private final InetSocketAddress listen;
    private final GossipNode node;
    private final ConcurrentLinkedQueue<Double> peerReportLevels = new ConcurrentLinkedQueue<>();

    Instance(String name, String... authorities) throws Exception {
      this(
          installation.settings(
              name, Installation.freeAddress(), PERIOD_NANOS, CAP, seeds(), authorities));
    }

    Instance(GossipSettings s) throws Exception {
      listen = s.listen();
      node =
          new GossipNode(
              loop, s, NodeIdentity.read(s), 7, (engine, level) -> peerReportLevels.add(level));
      Thread t = new Thread(loop);
      t.setDaemon(true);
      t.start();
      loop.post(
          0,
          () -> {
            node.onEndpoints(
                true,
                IntStream.rangeClosed(1, 8)
                    .mapToObj(
                        i ->
                            new EngineMember(
                                new EngineEndpoint("s-0000000" + i, EngineState.UP, 0, 0, 0, 1, 0),
                                listen))
                    .toList());
            node.start();
          });
      instances.add(this);
    }

    void reload(GossipSettings settings) throws Exception {
      CompletableFuture<Boolean> done = new CompletableFuture<>();
      loop.post(
          0,
          () -> {
            node.reload(settings);
            done.complete(true);
          });
      done.get(10, TimeUnit.SECONDS);
    }

    int members() throws Exception {
      CompletableFuture<Integer> size = new CompletableFuture<>();
      loop.post(0, () -> size.complete(node.gossip().membership().size()));
      return size.get(10, TimeUnit.SECONDS);
    }

    String status(String asker) throws IOException {
      return Installation.tool(
          "status",
          "--address",
          "127.0.0.1:" + listen.getPort(),
          "--cluster",
          Installation.CLUSTER,
          "--key",
          installation.path(asker + ".key").toString(),
          "--certificate",
          installation.path(asker + ".crt").toString(),
          "--authority",
          installation.path("ca.crt").toString());
    }

    long refused(String reason) throws IOException {
      String counts =
          status("asker").lines().filter(l -> l.startsWith("refused")).findFirst().orElse("");
      int at = counts.indexOf(reason + "=");
      return at < 0
          ? 0
          : Long.parseLong(counts.substring(at + reason.length() + 1).split("[,}]")[0]);
    }
  }

  private Installation installation;
  private final List<Instance> instances = new ArrayList<>();

  private List<InetSocketAddress> seeds() {
    return instances.stream().limit(1).map(i -> i.listen).toList();
  }

  @BeforeEach
  void make() throws IOException {
    installation = new Installation(folder);
    for (String name : new String[] {"g1", "g2", "g3", "asker"}) {
      installation.instance(name, "ca", 30);
    }
  }

  @AfterEach
  void end() {
    instances.forEach(
        i ->
            i.loop.post(
                0,
                () -> {
                  i.node.stop();
                  i.loop.end();
                }));
  }

  private static void await(Predicate<Void> condition) throws InterruptedException {
    for (int i = 0; i < 400 && !condition.test(null); i++) {
      Thread.sleep(25);
    }
    assertTrue(condition.test(null));
  }

  private void awaitMembers(int count, Instance... of) throws InterruptedException {
    await(
        x ->
            Arrays.stream(of)
                .allMatch(
                    i -> {
                      try {
                        return i.members() == count;
                      } catch (Exception e) {
                        return false;
                      }
                    }));
  }

  private static void send(InetSocketAddress to, byte[] bytes) throws IOException {
    try (DatagramSocket s = new DatagramSocket()) {
      s.send(new DatagramPacket(bytes, bytes.length, to));
    }
  }

  /** Returns a ping signed by an instance, with the given time in its envelope. */
  private byte[] ping(String name, String cluster, long seq, long time, boolean certified)
      throws Exception {
    GossipSettings s =
        installation.settings(name, Installation.freeAddress(), PERIOD_NANOS, CAP, List.of(), "ca");
    NodeIdentity id = NodeIdentity.read(s);
    byte[] unsigned =
        GossipCodec.encode(
            new DatagramEnvelope(
                GossipCodec.clusterChecksum(cluster),
                seq,
                time,
                certified ? Optional.of(id.encodedCertificate()) : Optional.empty(),
                0),
            new Packet(
                name,
                0x7f000001L << 16 | 9,
                time / 1000,
                new MembershipMessage.Ping(1, ""),
                List.of(),
                List.of()));
    return id.appendSignature(unsigned);
  }

  @Test
  void instancesJoinExchangePeerReportsAndLeave() throws Exception {
    Instance one = new Instance("g1", "ca");
    Instance two = new Instance("g2", "ca");
    Instance three = new Instance("g3", "ca");
    awaitMembers(3, one, two, three);
    for (Instance i : List.of(two, three)) {
      for (int k = 0; k < 3; k++) {
        i.loop.post(0, () -> i.node.onAttemptEnded(ENGINE, AttemptOutcome.TIMEOUT, true));
      }
    }
    await(x -> one.peerReportLevels.stream().anyMatch(l -> l >= 0.5));
    String status = one.status("asker");
    assertTrue(status.contains("engine " + ENGINE) && status.contains("accused by g2,g3"), status);
    assertTrue(status.contains("member g2 127.0.0.1:" + two.listen.getPort() + " ALIVE"), status);
    assertFalse(status.contains("member asker"), "the status client is not a member");
    for (int k = 0; k < 3; k++) {
      one.loop.post(0, () -> one.node.onAttemptEnded(ENGINE, AttemptOutcome.SERVED, true));
    }
    await(x -> one.peerReportLevels.stream().reduce((a, b) -> b).orElse(1.0) == 0.0);
    three.loop.post(0, three.node::stop);
    awaitMembers(2, one, two);
    assertTrue(one.status("asker").contains(" LEFT "));
  }

  @Test
  void rejectsAndCountsInvalidDatagramsByReason() throws Exception {
    Instance one = new Instance("g1", "ca");
    long now = System.currentTimeMillis();
    byte[] good = ping("g2", Installation.CLUSTER, 1, now, true);
    send(one.listen, good);
    awaitMembers(2, one);
    send(one.listen, good);
    await(x -> refused(one, "REPLAYED") == 1);
    byte[] forged = ping("g3", Installation.CLUSTER, 1, now, true);
    forged[forged.length - 1] ^= 1;
    send(one.listen, forged);
    await(x -> refused(one, "FORGED") == 1);
    byte[] unsigned = ping("g3", Installation.CLUSTER, 2, now, true);
    Arrays.fill(unsigned, unsigned.length - GossipCodec.SIGNATURE_BYTES, unsigned.length, (byte) 0);
    send(one.listen, unsigned);
    await(x -> refused(one, "FORGED") == 2);
    send(one.listen, ping("g3", Installation.CLUSTER, 3, now - 3_600_000, true));
    send(one.listen, ping("g3", Installation.CLUSTER, 4, now + 3_600_000, true));
    await(x -> refused(one, "TIME") == 2);
    send(one.listen, ping("g3", "elsewhere", 5, now, true));
    await(x -> refused(one, "CLUSTER") == 1);
    send(one.listen, ping("g3", Installation.CLUSTER, 6, now, false));
    await(x -> refused(one, "UNKNOWN") == 1);
    send(one.listen, new byte[GossipCodec.MAX_DATAGRAM_BYTES + 1]);
    send(one.listen, new byte[] {1, 2, 3});
    await(x -> refused(one, "FORM") == 2);
    assertEquals(2, one.members(), "no rejected datagram added a member");
    send(one.listen, ping("g3", Installation.CLUSTER, 7, now - 10_000, true));
    awaitMembers(3, one); // a clock difference of ten seconds is accepted
  }

  private static long refused(Instance i, String reason) {
    try {
      return i.refused(reason);
    } catch (IOException e) {
      return -1;
    }
  }

  @Test
  void rejectsUndecodableContentWithValidSignature() throws Exception {
    Instance one = new Instance("g1", "ca");
    GossipSettings s =
        installation.settings("g2", Installation.freeAddress(), PERIOD_NANOS, CAP, List.of(), "ca");
    NodeIdentity id = NodeIdentity.read(s);
    byte[] unsigned =
        GossipCodec.encode(
            new DatagramEnvelope(
                GossipCodec.clusterChecksum(Installation.CLUSTER),
                5,
                System.currentTimeMillis(),
                Optional.ofNullable(id.encodedCertificate()),
                0),
            new Packet("g2", 1, 1, new MembershipMessage.PayloadOnly(), List.of(), List.of()));
    unsigned[unsigned.length - 7] = 77; // an unknown kind of message
    byte[] datagram = id.appendSignature(unsigned);
    send(one.listen, datagram);
    await(x -> refused(one, "NONSENSE") == 1);
    assertEquals(1, one.members());
  }

  @Test
  void rejectsCertificateOfUnknownAuthorityAndRevokedCertificate() throws Exception {
    Installation.tool("ca", "--name", "other", "--out", installation.path("other").toString());
    installation.instance("g3", "other", 30);
    Instance one = new Instance("g1", "ca");
    send(one.listen, ping("g3", Installation.CLUSTER, 1, System.currentTimeMillis(), true));
    await(x -> refused(one, "CERTIFICATE") == 1);
    send(one.listen, ping("g2", Installation.CLUSTER, 1, System.currentTimeMillis(), true));
    awaitMembers(2, one);
    Installation.tool(
        "revoke",
        "--certificate",
        installation.path("g2.crt").toString(),
        "--list",
        installation.path("revoked.txt").toString());
    GossipSettings updated =
        installation.settings("g1", one.listen, PERIOD_NANOS, CAP, List.of(), "ca", "other");
    one.reload(updated);
    send(one.listen, ping("g3", Installation.CLUSTER, 2, System.currentTimeMillis(), true));
    awaitMembers(3, one); // both authorities are trusted while one replaces the other
    send(one.listen, ping("g2", Installation.CLUSTER, 2, System.currentTimeMillis(), true));
    await(x -> refused(one, "REVOKED") == 1);
  }

  @Test
  void replacesKeyWithoutRestart() throws Exception {
    Instance one = new Instance("g1", "ca");
    Instance two = new Instance("g2", "ca");
    awaitMembers(2, one, two);
    Files.delete(installation.path("g2.key"));
    Files.delete(installation.path("g2.pub"));
    installation.instance("g2", "ca", 30);
    GossipSettings updated =
        installation.settings("g2", two.listen, PERIOD_NANOS, CAP, seeds(), "ca");
    two.reload(updated);
    Thread.sleep(2_500); // longer than it takes to remove a member whose datagrams are rejected
    assertEquals(2, one.members());
    assertTrue(
        one.status("asker").contains("member g2 127.0.0.1:" + two.listen.getPort() + " ALIVE"));
  }

  @Test
  void rejectsKeyReadableByOthersOrNotOfCertificate() throws Exception {
    Files.setPosixFilePermissions(
        installation.path("g1.key"), PosixFilePermissions.fromString("rw-r--r--"));
    GossipSettings s =
        installation.settings("g1", Installation.freeAddress(), PERIOD_NANOS, CAP, List.of(), "ca");
    assertTrue(
        assertThrows(ConfigException.class, () -> NodeIdentity.read(s))
            .getMessage()
            .contains("g1.key"));
    Files.copy(installation.path("g2.crt"), installation.path("x.crt"));
    Files.copy(installation.path("g3.key"), installation.path("x.key"));
    GossipSettings mixed =
        installation.settings("x", Installation.freeAddress(), PERIOD_NANOS, CAP, List.of(), "ca");
    assertTrue(
        assertThrows(ConfigException.class, () -> NodeIdentity.read(mixed))
            .getMessage()
            .contains("is not the key of"));
  }

  @Test
  void toolRejectsOverwritingKeysAndNamesMissingArguments() throws Exception {
    assertTrue(
        assertThrows(
                IOException.class,
                () -> Installation.tool("key", "--out", installation.path("g1").toString()))
            .getMessage()
            .contains("is there already"));
    assertTrue(
        assertThrows(IOException.class, () -> Installation.tool("sign"))
            .getMessage()
            .contains("is missing"));
    String shown =
        Installation.tool("show", "--certificate", installation.path("g1.crt").toString());
    assertTrue(shown.contains("name       g1") && shown.contains("authority  CN=ca"), shown);
    int bytes =
        Integer.parseInt(
            shown
                .lines()
                .filter(l -> l.startsWith("bytes"))
                .findFirst()
                .orElseThrow()
                .replaceAll("\\D", ""));
    assertTrue(bytes < 260, bytes + " bytes of certificate in each first datagram");
  }
}
