package reachloom.lab.gossip;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import reachloom.gossip.Packet;
import reachloom.gossip.wire.DatagramEnvelope;
import reachloom.gossip.wire.GossipCodec;
import reachloom.lab.cluster.ClusterPlan;
import reachloom.lab.cluster.Fault;
import reachloom.lab.cluster.FaultSchedule;
import reachloom.lab.cluster.HistoryChecker;
import reachloom.lab.cluster.ProcessFleet;
import reachloom.membership.MembershipMessage;
import reachloom.time.WallClock;

/**
 * Gossip among real gateways, each a process of its own on loopback, with engine stand-ins and real
 * queries; beside it the same with gossip off. Some engines hang, junk may come at one gateway's
 * gossip port.
 */
final class SocketRun {
  private static final long PERIOD = 500_000_000; // nanoseconds
  private static final int CAP = 4_096;
  private static final double LOAD =
      0.3; // of all cores: most is lost to the sick, little to queues
  private static final int HEAP_MB = 64;
  private static final int SETTLE_MS = 5_000;
  private static final int JUNK_KINDS = 3;

  /** What is asked for; {@code junk} is in datagrams a second. */
  record Plan(int instances, int engines, int sick, int junk, int seconds, long seed) {}

  private final Plan plan;
  private final Path folder;
  private volatile boolean over;

  SocketRun(Plan plan, Path folder) {
    this.plan = plan;
    this.folder = folder;
  }

  Map<String, Object> play() throws Exception {
    Map<String, Object> figures = new LinkedHashMap<>();
    Map<String, Object> seen = new LinkedHashMap<>();
    tell(figures, "", run(true, plan.junk, seen));
    tell(figures, "_alone", run(false, 0, new LinkedHashMap<>()));
    if (plan.junk > 0) {
      tell(figures, "_without_junk", run(true, 0, new LinkedHashMap<>()));
    }
    figures.putAll(seen);
    return figures;
  }

  private static void tell(Map<String, Object> figures, String suffix, Told told) {
    long asked = told.all.stream().mapToLong(HistoryChecker.Row::asked).sum();
    long inTime = told.all.stream().mapToLong(HistoryChecker.Row::inTime).sum();
    figures.put("asked" + suffix, asked);
    figures.put("service" + suffix, Math.round(1e4 * inTime / Math.max(1, asked)) / 1e4);
    // Engines that are well answer nearly all in time: what is late has met one that is not.
    figures.put(
        "lost_to_sick" + suffix, told.sick.stream().mapToLong(r -> r.asked() - r.inTime()).sum());
    figures.put("p99_ms" + suffix, told.all.get(0).p99());
    figures.put("rules_broken" + suffix, told.broken);
  }

  /** What became of all queries, and of those that came once some engines hung. */
  private record Told(List<HistoryChecker.Row> all, List<HistoryChecker.Row> sick, Object broken) {}

  private Told run(boolean gossip, int junk, Map<String, Object> seen) throws Exception {
    over = false;
    Path here = Files.createTempDirectory(folder, gossip ? "with" : "alone");
    Installation installation = new Installation(here);
    installation.instance("operator", "ca", 30);
    List<InetSocketAddress> ports = new ArrayList<>();
    List<Path> settings = new ArrayList<>();
    for (int i = 0; i < plan.instances; i++) {
      ports.add(Installation.freeAddress());
    }
    for (int i = 0; i < plan.instances; i++) {
      String name = "g" + i;
      installation.instance(name, "ca", 30);
      settings.add(
          installation.file(
              installation.settings(
                  name, ports.get(i), PERIOD, CAP, i == 0 ? List.of() : ports.subList(0, 1), "ca"),
              name));
    }
    double quarter = SETTLE_MS / 1e3 + plan.seconds * 0.25;
    double all = SETTLE_MS / 1e3 + plan.seconds;
    ClusterPlan fleetPlan =
        new ClusterPlan(
            plan.instances, plan.engines, 1, (int) all, LOAD, 0, 0, plan.instances, plan.seed);
    Fault hang =
        new Fault(
            quarter,
            Fault.Who.ENGINES,
            Fault.Kind.HANG,
            (double) plan.sick / plan.engines,
            -1,
            -1,
            1,
            all,
            0);
    Thread flood = null;
    try (ProcessFleet fleet =
        new ProcessFleet(
            fleetPlan,
            here,
            null,
            HEAP_MB,
            g -> gossip ? List.of("--settings", settings.get(g).toString()) : List.of())) {
      flood = junk > 0 ? flood(ports.get(0), junk) : null;
      Object broken =
          fleet
              .play(
                  new FaultSchedule("sick", plan.sick == 0 ? List.of() : List.of(hang)),
                  () -> {
                    if (gossip) {
                      status(installation, ports, seen);
                    }
                  })
              .get("rules_broken");
      return new Told(fleet.rows(SETTLE_MS / 1e3), fleet.rows(quarter), broken);
    } finally {
      over = true;
      if (flood != null) {
        flood.join();
      }
    }
  }

  /** Junk at one port: noise, well-formed datagrams of nobody, and forged ones of a member. */
  private Thread flood(InetSocketAddress to, int rate) {
    Thread t =
        new Thread(
            () -> {
              SplittableRandom random = new SplittableRandom(plan.seed);
              byte[] noise = new byte[300];
              random.nextBytes(noise);
              try (DatagramSocket socket = new DatagramSocket()) {
                long start = System.nanoTime();
                for (long sent = 0; !over; sent++) {
                  byte[] junk =
                      switch ((int) (sent % JUNK_KINDS)) {
                        case 0 -> noise;
                        case 1 -> forged("nobody", sent);
                        default -> forged("g1", sent);
                      };
                  socket.send(new DatagramPacket(junk, junk.length, to));
                  long due = start + sent * 1_000_000_000L / rate;
                  while (System.nanoTime() < due && !over) {
                    Thread.sleep(0, 200_000);
                  }
                }
              } catch (IOException e) {
                System.err.println("the flood ended: " + e.getMessage());
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "flood");
    t.start();
    return t;
  }

  private static byte[] forged(String name, long seq) {
    byte[] unsigned =
        GossipCodec.encode(
            new DatagramEnvelope(
                GossipCodec.clusterChecksum(Installation.CLUSTER),
                Long.MAX_VALUE - 1_000_000_000 + seq,
                WallClock.unixMillis(),
                Optional.empty(),
                1),
            new Packet(name, 1, 1, new MembershipMessage.PayloadOnly(), List.of(), List.of()));
    return Arrays.copyOf(unsigned, unsigned.length + GossipCodec.SIGNATURE_BYTES);
  }

  /** What the first gateway tells an operator: refusals, members, and what it sent. */
  private void status(
      Installation installation, List<InetSocketAddress> ports, Map<String, Object> figures) {
    String text =
        ask(
            "status",
            "--address",
            "127.0.0.1:" + ports.get(0).getPort(),
            "--cluster",
            Installation.CLUSTER,
            "--key",
            installation.path("operator.key").toString(),
            "--certificate",
            installation.path("operator.crt").toString(),
            "--authority",
            installation.path("ca.crt").toString());
    figures.putIfAbsent(
        "members_seen",
        text.lines().filter(l -> l.startsWith("member ") && l.contains(" ALIVE ")).count() + 1);
    figures.putIfAbsent(
        "refused_by_reason",
        text.lines()
            .filter(l -> l.startsWith("refused "))
            .findFirst()
            .orElse("")
            .substring("refused ".length()));
    figures.putIfAbsent(
        "accepted_forged", text.lines().filter(l -> l.startsWith("member nobody")).count());
    figures.putIfAbsent(
        "bytes", text.lines().filter(l -> l.startsWith("bytes ")).findFirst().orElse(""));
  }

  private static String ask(String... words) {
    try {
      return Installation.tool(words);
    } catch (IOException e) {
      return "refused " + e.getMessage();
    }
  }
}
