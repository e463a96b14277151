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
 * Runs gossip among real gateways, each in a process of its own on loopback, with engine stand-ins
 * and real queries, and repeats the run with gossip off. Some engines hang; junk datagrams may be
 * sent to one gateway's gossip port, and the run is then repeated with gossip and without junk.
 */
final class SocketRun {
  private static final long PERIOD_NANOS = 500_000_000;
  private static final int CAP_BYTES_PER_SECOND = 4_096;

  /**
   * The load as a share of all cores: low enough that queries are lost to sick engines and hardly
   * to queueing.
   */
  private static final double LOAD = 0.3;

  private static final int HEAP_MB = 64;
  private static final int SETTLE_MS = 5_000;
  private static final int JUNK_KINDS = 3;

  /** The parameters of a run; {@code junk} is in datagrams a second. */
  record Plan(int instances, int engines, int sick, int junk, int seconds, long seed) {}

  private final Plan plan;
  private final Path folder;
  private volatile boolean stopped;

  SocketRun(Plan plan, Path folder) {
    this.plan = plan;
    this.folder = folder;
  }

  /** Executes the runs; returns their figures by name, in order. */
  Map<String, Object> play() throws Exception {
    Map<String, Object> figures = new LinkedHashMap<>();
    Map<String, Object> statusFigures = new LinkedHashMap<>();
    addFigures(figures, "", run(true, plan.junk, statusFigures));
    addFigures(figures, "_alone", run(false, 0, new LinkedHashMap<>()));
    if (plan.junk > 0) {
      addFigures(figures, "_without_junk", run(true, 0, new LinkedHashMap<>()));
    }
    figures.putAll(statusFigures);
    return figures;
  }

  private static void addFigures(Map<String, Object> figures, String suffix, Outcome outcome) {
    long asked = outcome.all.stream().mapToLong(HistoryChecker.Row::asked).sum();
    long inTime = outcome.all.stream().mapToLong(HistoryChecker.Row::inTime).sum();
    figures.put("asked" + suffix, asked);
    figures.put("service" + suffix, Math.round(1e4 * inTime / Math.max(1, asked)) / 1e4);
    // Healthy engines answer nearly all queries in time, so late ones count as lost to sick ones.
    figures.put(
        "lost_to_sick" + suffix,
        outcome.withSickEngines.stream().mapToLong(r -> r.asked() - r.inTime()).sum());
    figures.put("p99_ms" + suffix, outcome.all.get(0).p99());
    figures.put("rules_broken" + suffix, outcome.rulesBroken);
  }

  /**
   * The results of all queries after the settling time, of those from the moment at which engines
   * hang, and the broken rules.
   */
  private record Outcome(
      List<HistoryChecker.Row> all, List<HistoryChecker.Row> withSickEngines, Object rulesBroken) {}

  private Outcome run(boolean gossip, int junk, Map<String, Object> statusFigures)
      throws Exception {
    stopped = false;
    Path runFolder = Files.createTempDirectory(folder, gossip ? "with" : "alone");
    Installation installation = new Installation(runFolder);
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
                  name,
                  ports.get(i),
                  PERIOD_NANOS,
                  CAP_BYTES_PER_SECOND,
                  i == 0 ? List.of() : ports.subList(0, 1),
                  "ca"),
              name));
    }
    double sickFromS = SETTLE_MS / 1e3 + plan.seconds * 0.25;
    double endS = SETTLE_MS / 1e3 + plan.seconds;
    ClusterPlan fleetPlan =
        new ClusterPlan(
            plan.instances, plan.engines, 1, (int) endS, LOAD, 0, 0, plan.instances, plan.seed);
    Fault hang =
        new Fault(
            sickFromS,
            Fault.Who.ENGINES,
            Fault.Kind.HANG,
            (double) plan.sick / plan.engines,
            -1,
            -1,
            1,
            endS,
            0);
    Thread flood = null;
    try (ProcessFleet fleet =
        new ProcessFleet(
            fleetPlan,
            runFolder,
            null,
            HEAP_MB,
            g -> gossip ? List.of("--settings", settings.get(g).toString()) : List.of())) {
      flood = junk > 0 ? flood(ports.get(0), junk) : null;
      Object rulesBroken =
          fleet
              .play(
                  new FaultSchedule("sick", plan.sick == 0 ? List.of() : List.of(hang)),
                  () -> {
                    if (gossip) {
                      status(installation, ports, statusFigures);
                    }
                  })
              .get("rules_broken");
      return new Outcome(fleet.rows(SETTLE_MS / 1e3), fleet.rows(sickFromS), rulesBroken);
    } finally {
      stopped = true;
      if (flood != null) {
        flood.join();
      }
    }
  }

  /**
   * Sends junk to one port: random bytes, well-formed datagrams of an unknown sender, and forged
   * datagrams of a member.
   */
  private Thread flood(InetSocketAddress to, int rate) {
    Thread t =
        new Thread(
            () -> {
              SplittableRandom random = new SplittableRandom(plan.seed);
              byte[] noise = new byte[300];
              random.nextBytes(noise);
              try (DatagramSocket socket = new DatagramSocket()) {
                long start = System.nanoTime();
                for (long sent = 0; !stopped; sent++) {
                  byte[] junk =
                      switch ((int) (sent % JUNK_KINDS)) {
                        case 0 -> noise;
                        case 1 -> forged("nobody", sent);
                        default -> forged("g1", sent);
                      };
                  socket.send(new DatagramPacket(junk, junk.length, to));
                  long due = start + sent * 1_000_000_000L / rate;
                  while (System.nanoTime() < due && !stopped) {
                    Thread.sleep(0, 200_000);
                  }
                }
              } catch (IOException e) {
                System.err.println(
                    "sending junk datagrams failed, no more are sent: " + e.getMessage());
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

  /** Adds figures from the status of the first gateway: refusals, members and bytes sent. */
  private void status(
      Installation installation, List<InetSocketAddress> ports, Map<String, Object> figures) {
    String text =
        statusOrError(
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

  private static String statusOrError(String... arguments) {
    try {
      return Installation.tool(arguments);
    } catch (IOException e) {
      return "refused " + e.getMessage();
    }
  }
}
