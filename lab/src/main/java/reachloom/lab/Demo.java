package reachloom.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import reachloom.standin.ChangeLogStandIn;
import reachloom.standin.GatewayProcess;
import reachloom.standin.NodeStandIn;
import reachloom.standin.ThriftClient;

/**
 * A first run to look at: one gateway, six engine stand-ins, a change log and clients, all on loopback.
 * Half-way one engine takes requests and says nothing more.
 */
final class Demo implements Lab.Command {
  private static final int ENGINES = 6;
  private static final int CLIENTS = 24;
  private static final double ENGINE_MS = 25;
  private static final double PAUSE_MS = 40;
  private static final long IN_TIME_MS = 500; // the aim of all classes in the demo's settings
  private static final long LONGEST_MS = 10_000;
  private static final List<String> CLASSES = List.of("quick", "keyed", "once");

  private static final class Tally {
    private final AtomicLong asked = new AtomicLong();
    private final AtomicLong inTime = new AtomicLong();
    private final AtomicLong late = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final Histogram times = new ConcurrentHistogram(LONGEST_MS * 1_000, 3);
  }

  private final Map<String, Tally> tallies = new LinkedHashMap<>();
  private volatile boolean over;

  @Override
  public String purpose() {
    return "a gateway among stand-ins on loopback, one of which hangs half-way";
  }

  @Override
  public Options options() {
    return new Options().addOption(null, "seconds", true, "how long to run (20)");
  }

  @Override
  public int run(CommandLine line) throws Exception {
    int seconds = Lab.number(line, "seconds", 20, 4, 600);
    CLASSES.forEach(c -> tallies.put(c, new Tally()));
    Path folder = Files.createTempDirectory("reachloom-demo");
    List<NodeStandIn> engines = new ArrayList<>();
    try (ChangeLogStandIn changeLog = new ChangeLogStandIn(1)) {
      for (int i = 0; i < ENGINES; i++) {
        NodeStandIn e = new NodeStandIn();
        e.takes(ENGINE_MS);
        engines.add(e);
      }
      try (GatewayProcess gateway = new GatewayProcess(folder, changeLog, GatewayProcess.freeAddress(),
          engines.toArray(NodeStandIn[]::new))) {
        gateway.ready().close();
        System.err.println("a gateway serves at " + gateway.listen + " with " + ENGINES + " engines");
        play(gateway, engines.get(0), seconds);
      }
    } finally {
      for (NodeStandIn e : engines) {
        e.close();
      }
      clear(folder);
    }
    print();
    return 0;
  }

  private void play(GatewayProcess gateway, NodeStandIn sick, int seconds) throws InterruptedException {
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int seed = i;
      Thread t = new Thread(() -> ask(gateway, seed), "client " + i);
      t.start();
      clients.add(t);
    }
    for (int s = 1; s <= seconds; s++) {
      Thread.sleep(1_000);
      if (s == seconds / 2) {
        sick.hang(true);
      }
      long asked = tallies.values().stream().mapToLong(t -> t.asked.get()).sum();
      long served = tallies.values().stream().mapToLong(t -> t.inTime.get() + t.late.get()).sum();
      System.err.printf("%3d of %d s: %d asked, %d served%s%n", s, seconds, asked, served,
          s == seconds / 2 ? "; from now on one engine hangs" : "");
    }
    over = true;
    for (Thread t : clients) {
      t.join(LONGEST_MS);
    }
  }

  private void ask(GatewayProcess gateway, int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    try (ThriftClient client = new ThriftClient(gateway.listen)) {
      for (int i = 0; !over; i++) {
        String name = CLASSES.get(random.nextInt(10) < 8 ? 0 : 1 + random.nextInt(2));
        Tally tally = tallies.get(name);
        tally.asked.incrementAndGet();
        long from = System.nanoTime();
        String kind = client.run("select id from sales_" + random.nextInt(9) + ".orders", "verb", name, "txn",
            String.format("%08x%08x", seed, i), "unique", name.equals("keyed") ? "k" + seed + "-" + i : null)
            .kind();
        long micros = (System.nanoTime() - from) / 1_000;
        switch (kind) {
          case "ANSWER" -> {
            (micros <= IN_TIME_MS * 1_000 ? tally.inTime : tally.late).incrementAndGet();
            tally.times.recordValue(Math.min(micros, LONGEST_MS * 1_000));
          }
          case "BUSY" -> tally.refused.incrementAndGet();
          default -> tally.failed.incrementAndGet();
        }
        Thread.sleep(Math.round(-PAUSE_MS * Math.log(1 - random.nextDouble())));
      }
    } catch (IOException e) {
      System.err.println("a client lost its connection: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void print() {
    System.out.printf("%-8s %8s %8s %8s %8s %8s %9s %9s%n", "class", "asked", "in time", "late", "refused",
        "failed", "p50 ms", "p99 ms");
    tallies.forEach((name, t) -> System.out.printf("%-8s %8d %8d %8d %8d %8d %9.1f %9.1f%n", name,
        t.asked.get(), t.inTime.get(), t.late.get(), t.refused.get(), t.failed.get(),
        t.times.getValueAtPercentile(50) / 1e3, t.times.getValueAtPercentile(99) / 1e3));
  }

  private static void clear(Path folder) throws IOException {
    try (var files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    }
  }
}
