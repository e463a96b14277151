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
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import reachloom.gossip.Packet;
import reachloom.gossip.wire.GossipCodec;
import reachloom.membership.Message;
import reachloom.standin.ChangeLogStandIn;
import reachloom.standin.GatewayProcess;
import reachloom.standin.NodeStandIn;
import reachloom.standin.ThriftClient;

/**
 * Gossip among real gateways, each a process of its own on loopback, with engine stand-ins and real queries;
 * beside it the same with gossip off. Some engines hang, junk may come at one gateway's gossip port.
 */
final class SocketRun {
  private static final long PERIOD = 500_000_000; // nanoseconds
  private static final int CAP = 4_096;
  private static final int CLIENTS = 4; // of each gateway
  private static final double PAUSE_MS = 60;
  private static final double ENGINE_MS = 15;
  private static final long AIM_MICROS = 500_000;
  private static final long LONGEST_MICROS = 10_000_000;
  private static final int SETTLE_MS = 5_000;
  private static final int JUNK_KINDS = 3;

  /** What is asked for; {@code junk} is in datagrams a second. */
  record Plan(int instances, int engines, int sick, int junk, int seconds, long seed) {
  }

  private final class Tally {
    private final AtomicLong asked = new AtomicLong();
    private final AtomicLong inTime = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();
    private final Histogram times = new ConcurrentHistogram(LONGEST_MICROS, 3);
  }

  private final Plan plan;
  private final Path folder;
  private volatile boolean over;
  private volatile boolean sick;

  SocketRun(Plan plan, Path folder) {
    this.plan = plan;
    this.folder = folder;
  }

  Map<String, Object> play() throws Exception {
    Map<String, Object> figures = new LinkedHashMap<>();
    Tally with = run(true, plan.junk, figures);
    Tally alone = run(false, 0, figures);
    figures.put("asked", with.asked.get());
    figures.put("service", share(with));
    figures.put("service_alone", share(alone));
    figures.put("lost_to_sick", with.lost.get());
    figures.put("lost_to_sick_alone", alone.lost.get());
    figures.put("p99_ms", with.times.getValueAtPercentile(99) / 1e3);
    if (plan.junk > 0) {
      Tally quiet = run(true, 0, new LinkedHashMap<>());
      figures.put("p99_ms_without_junk", quiet.times.getValueAtPercentile(99) / 1e3);
      figures.put("service_without_junk", share(quiet));
    }
    return figures;
  }

  private static double share(Tally t) {
    return Math.round(1e4 * t.inTime.get() / Math.max(1, t.asked.get())) / 1e4;
  }

  private Tally run(boolean gossip, int junk, Map<String, Object> figures) throws Exception {
    over = false;
    sick = false;
    Path here = Files.createTempDirectory(folder, gossip ? "with" : "alone");
    Installation installation = new Installation(here);
    installation.instance("operator", "ca", 30);
    List<InetSocketAddress> ports = new ArrayList<>();
    for (int i = 0; i < plan.instances; i++) {
      ports.add(Installation.freeAddress());
    }
    List<NodeStandIn> engines = new ArrayList<>();
    List<GatewayProcess> gateways = new ArrayList<>();
    Tally tally = new Tally();
    try (ChangeLogStandIn changeLog = new ChangeLogStandIn(1)) {
      for (int i = 0; i < plan.engines; i++) {
        NodeStandIn e = new NodeStandIn();
        e.takes(ENGINE_MS);
        engines.add(e);
      }
      for (int i = 0; i < plan.instances; i++) {
        String name = "g" + i;
        installation.instance(name, "ca", 30);
        Path settings = installation.file(installation.settings(name, ports.get(i), PERIOD, CAP,
            i == 0 ? List.of() : ports.subList(0, 1), "ca"), name);
        Path own = Files.createDirectory(here.resolve(name));
        String text = GatewayProcess.config(GatewayProcess.freeAddress(), changeLog,
            engines.toArray(NodeStandIn[]::new)).replace("\"selfIndex\":0", "\"selfIndex\":" + i);
        gateways.add(new GatewayProcess(own, text, gossip ? List.of("--settings", settings.toString())
                : List.of()));
      }
      for (GatewayProcess g : gateways) {
        g.ready().close();
      }
      Thread.sleep(SETTLE_MS);
      List<Thread> clients = clients(gateways, tally);
      Thread flood = junk > 0 ? flood(ports.get(0), junk) : null;
      Thread.sleep(plan.seconds * 250L);
      engines.subList(0, plan.sick).forEach(e -> e.hang(true));
      sick = plan.sick > 0;
      Thread.sleep(plan.seconds * 750L);
      if (gossip) {
        status(installation, ports, figures);
      }
      over = true;
      for (Thread t : clients) {
        t.join(LONGEST_MICROS / 1_000);
      }
      if (flood != null) {
        flood.join();
      }
    } finally {
      over = true;
      for (GatewayProcess g : gateways) {
        g.close();
      }
      for (NodeStandIn e : engines) {
        e.close();
      }
    }
    return tally;
  }

  private List<Thread> clients(List<GatewayProcess> gateways, Tally tally) {
    List<Thread> clients = new ArrayList<>();
    for (int g = 0; g < gateways.size(); g++) {
      for (int k = 0; k < CLIENTS; k++) {
        GatewayProcess gateway = gateways.get(g);
        long number = g * CLIENTS + k;
        Thread t = new Thread(() -> ask(gateway, number, tally), "client " + number);
        t.start();
        clients.add(t);
      }
    }
    return clients;
  }

  private void ask(GatewayProcess gateway, long number, Tally tally) {
    SplittableRandom random = new SplittableRandom(plan.seed * 1_000 + number);
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      for (int i = 0; !over; i++) {
        Thread.sleep(Math.round(-PAUSE_MS * Math.log(1 - random.nextDouble())));
        tally.asked.incrementAndGet();
        long from = System.nanoTime();
        String id = String.format("%08x%08x", number, i);
        String kind = client.run("select 1 from sales_1.a", "txn", id).kind();
        long micros = Math.min(LONGEST_MICROS, (System.nanoTime() - from) / 1_000);
        boolean inTime = kind.equals("ANSWER") && micros <= AIM_MICROS;
        // Engines that are well answer within six means: what takes longer has met one that is not.
        tally.inTime.addAndGet(inTime ? 1 : 0);
        tally.lost.addAndGet(!inTime && sick ? 1 : 0);
        tally.times.recordValue(micros);
      }
    } catch (IOException e) {
      System.err.println("a client lost its connection: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Junk at one port: noise, well-formed datagrams of nobody, and forged ones of a member. */
  private Thread flood(InetSocketAddress to, int rate) {
    Thread t = new Thread(() -> {
      SplittableRandom random = new SplittableRandom(plan.seed);
      byte[] noise = new byte[300];
      random.nextBytes(noise);
      try (DatagramSocket socket = new DatagramSocket()) {
        long start = System.nanoTime();
        for (long sent = 0; !over; sent++) {
          byte[] junk = switch ((int) (sent % JUNK_KINDS)) {
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
    }, "flood");
    t.start();
    return t;
  }

  private static byte[] forged(String name, long seq) {
    byte[] unsigned = GossipCodec.write(GossipCodec.cluster(Installation.CLUSTER),
        new Packet(name, 1, 1, new Message.Tell(), List.of(), List.of()),
        Long.MAX_VALUE - 1_000_000_000 + seq, System.currentTimeMillis(), null, 1);
    return Arrays.copyOf(unsigned, unsigned.length + GossipCodec.SIGNATURE);
  }

  /** What the first gateway tells an operator: refusals, members, and what it sent. */
  private void status(Installation installation, List<InetSocketAddress> ports, Map<String, Object> figures)
      throws IOException {
    String text = Installation.tool("status", "--address", "127.0.0.1:" + ports.get(0).getPort(), "--cluster",
        Installation.CLUSTER, "--key", installation.path("operator.key").toString(), "--certificate",
        installation.path("operator.crt").toString(), "--authority", installation.path("ca.crt").toString());
    figures.putIfAbsent("members_seen", text.lines().filter(l -> l.startsWith("member ")
        && l.contains(" ALIVE ")).count() + 1);
    figures.putIfAbsent("refused_by_reason", text.lines().filter(l -> l.startsWith("refused ")).findFirst()
        .orElse("").substring("refused ".length()));
    figures.putIfAbsent("accepted_forged", text.lines().filter(l -> l.startsWith("member nobody")).count());
    figures.putIfAbsent("bytes", text.lines().filter(l -> l.startsWith("bytes ")).findFirst().orElse(""));
  }
}
