package reachloom.lab.slopes;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig;
import reachloom.discovery.EndpointWatch;
import reachloom.gateway.EngineList;
import reachloom.gateway.wire.ChangeLogDecoder;
import reachloom.gateway.wire.EndpointListEvent;
import reachloom.lab.slopes.Fit.Point;
import reachloom.scheduler.api.EngineEndpoint;

/**
 * What the list of engines takes, by its length: bytes, processor time of the thread to read and to
 * apply it, bytes kept. The sizes are measured in turns. Times are those of the thread's processor:
 * the first read, as a process that starts has it, and the median of the later ones.
 */
public final class ListSlope {
  private static final int[] SIZES = {60, 150, 300, 630};
  private static final int ROUNDS = 300;
  private static final int KEPT = 50; // copies that are held to see what one takes

  /** The serial collector leaves some of the dead in place but for each fourth time. */
  private static final int COLLECTIONS = 4;

  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private static final class Size {
    private final int engines;
    private final byte[] text;
    private final Path file;
    private final byte[] whole;
    private final Map<String, List<Long>> cpu = new LinkedHashMap<>();
    private SchedulerBenchmarkHarness desk;
    private EngineList list;
    private EndpointWatch watch = new EndpointWatch(1, 1);
    private long number = 1;

    Size(int engines, Path folder) throws Exception {
      this.engines = engines;
      text = Lists.configuration(engines);
      file = Files.write(folder.resolve("list-" + engines + ".json"), text);
      whole = Lists.whole(1, engines);
    }

    private interface Work {
      void run() throws Exception;
    }

    private void count(String what, Work work) throws Exception {
      long before = THREADS.getCurrentThreadCpuTime();
      work.run();
      cpu.computeIfAbsent(what, w -> new ArrayList<>())
          .add(THREADS.getCurrentThreadCpuTime() - before);
    }

    GatewayConfig read() throws Exception {
      return GatewayConfig.fromFile(file, Map.of());
    }

    static EndpointListEvent decode(byte[] frame) {
      EndpointListEvent[] read = new EndpointListEvent[1];
      String fault =
          new ChangeLogDecoder(Lists.bounds().get(0), Lists.bounds().get(1))
              .feed(frame, 0, frame.length, c -> read[0] = c);
      if (fault != null) {
        throw new IllegalStateException(fault);
      }
      return read[0];
    }

    void round() throws Exception {
      if (desk == null) {
        desk = new SchedulerBenchmarkHarness(engines, false);
        list = new EngineList();
        list.update(true, decode(whole).members());
      }
      count("read the file, us", this::read);
      EndpointListEvent[] all = new EndpointListEvent[1];
      count("decode a whole frame, us", () -> all[0] = decode(Lists.whole(++number, engines)));
      watch.onFrame(number, true, false);
      List<EngineEndpoint> infos = all[0].members().stream().map(EngineMember::endpoint).toList();
      count(
          "apply a whole list in the decisions, us",
          () -> desk.choice.onEndpoints(desk.now, true, infos));
      count("apply a whole list in the gateway, us", () -> list.update(true, all[0].members()));
      desk.step();
      byte[] frame = Lists.one(++number, (int) (number % engines));
      EndpointListEvent[] one = new EndpointListEvent[1];
      count("decode one change, us", () -> one[0] = decode(frame));
      watch.onFrame(number, false, false);
      count(
          "apply one change in the decisions, us",
          () ->
              desk.choice.onEndpoints(
                  desk.now, false, one[0].members().stream().map(EngineMember::endpoint).toList()));
      count("apply one change in the gateway, us", () -> list.update(false, one[0].members()));
      desk.step();
    }
  }

  private ListSlope() {}

  public static void main(String[] args) throws Exception {
    Path folder = Files.createTempDirectory("reachloom-lists");
    try {
      List<Size> sizes = new ArrayList<>();
      for (int engines : SIZES) {
        sizes.add(new Size(engines, folder));
      }
      bytes(sizes);
      kept(sizes);
      for (int i = 0; i < ROUNDS; i++) {
        for (Size s : sizes) {
          s.round();
        }
      }
      for (String what : sizes.get(0).cpu.keySet()) {
        List<Point> points = new ArrayList<>();
        for (Size s : sizes) {
          long[] sorted =
              s.cpu.get(what).stream().skip(ROUNDS / 2).mapToLong(x -> x).sorted().toArray();
          points.add(new Point(s.engines, sorted[sorted.length / 2] / 1e3));
        }
        tell(what, points);
      }
    } finally {
      try (var files = Files.walk(folder)) {
        files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      }
    }
    System.out.printf(
        "load average %.1f%n", ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
  }

  private static void bytes(List<Size> sizes) throws Exception {
    List<Point> known = new ArrayList<>();
    List<Point> frame = new ArrayList<>();
    for (Size s : sizes) {
      known.add(new Point(s.engines, Lists.knownBytes(s.text)));
      frame.add(new Point(s.engines, s.whole.length));
    }
    tell("known as JSON, bytes", known);
    tell("whole frame, bytes", frame);
    System.out.printf(
        "one change, bytes: %d; quiet frame, bytes: 13, one a second%n", Lists.one(1, 1).length);
  }

  /**
   * Bytes that stay: several copies are made and held, and the heap is looked at after a
   * collection.
   */
  private static void kept(List<Size> sizes) throws Exception {
    for (int i = 0; i < KEPT; i++) { // what the first reads leave behind for good is not the list's
      for (Size s : sizes) {
        s.read();
      }
    }
    List<Point> config = new ArrayList<>();
    List<Point> decisions = new ArrayList<>();
    List<Point> gateway = new ArrayList<>();
    for (Size s : sizes) {
      config.add(new Point(s.engines, keptBy(s::read)));
    }
    for (Size s : sizes) {
      List<EngineEndpoint> infos =
          s.read().knownEngines().stream().map(EngineMember::endpoint).toList();
      decisions.add(new Point(s.engines, keptBy(() -> SchedulerBenchmarkHarness.listed(infos))));
    }
    for (Size s : sizes) {
      List<EngineMember> members = s.read().knownEngines();
      gateway.add(
          new Point(
              s.engines,
              keptBy(
                  () -> {
                    EngineList list = new EngineList();
                    list.update(true, members);
                    return list;
                  })));
    }
    tell("kept of the configuration, bytes", config);
    tell("kept in the decisions, bytes", decisions);
    tell("kept in the gateway's list, bytes", gateway);
  }

  private interface Made {
    Object one() throws Exception;
  }

  private static double keptBy(Made made) throws Exception {
    Object[] held = new Object[KEPT];
    held[0] = made.one(); // and what the first one leaves behind for good
    long before = heap();
    for (int i = 1; i < KEPT; i++) {
      held[i] = made.one();
    }
    double kept = (double) (heap() - before) / (KEPT - 1);
    java.lang.ref.Reference.reachabilityFence(held);
    return kept;
  }

  private static long heap() throws InterruptedException {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    Runtime r = Runtime.getRuntime();
    return r.totalMemory() - r.freeMemory();
  }

  private static void tell(String what, List<Point> points) {
    Fit fit = Fit.of(points);
    System.out.printf("%-42s", what);
    points.forEach(p -> System.out.printf(" %4.0f: %10.1f", p.size(), p.value()));
    System.out.printf(
        "  fit %.1f + %.4f n, residual %.1f, R2 %.4f, knee %.0f%n",
        fit.a(), fit.b(), fit.rms(), fit.r2(), Fit.bend(points));
  }
}
