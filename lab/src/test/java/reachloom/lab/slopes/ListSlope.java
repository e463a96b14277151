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
 * Measures the cost of the engine list by its length: its size in bytes, the thread's processor
 * time to read and to apply it, and the heap that it retains. The sizes are measured in turns.
 * Times are medians of the thread's processor time over the second half of the rounds.
 */
public final class ListSlope {
  private static final int[] SIZES = {60, 150, 300, 630};
  private static final int ROUNDS = 300;
  private static final int RETAINED_COPIES = 50; // held at once to measure the heap of one

  /** The serial collector removes all unreachable objects only in every fourth collection. */
  private static final int COLLECTIONS = 4;

  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private static final class Size {
    private final int engines;
    private final byte[] text;
    private final Path file;
    private final byte[] fullFrame;
    private final Map<String, List<Long>> cpu = new LinkedHashMap<>();
    private SchedulerBenchmarkHarness harness;
    private EngineList list;
    private EndpointWatch watch = new EndpointWatch(1, 1);
    private long revision = 1;

    Size(int engines, Path folder) throws Exception {
      this.engines = engines;
      text = EngineLists.configuration(engines);
      file = Files.write(folder.resolve("list-" + engines + ".json"), text);
      fullFrame = EngineLists.fullList(1, engines);
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
      String error =
          new ChangeLogDecoder(
                  EngineLists.zoneAndKindCounts().get(0), EngineLists.zoneAndKindCounts().get(1))
              .feed(frame, 0, frame.length, c -> read[0] = c);
      if (error != null) {
        throw new IllegalStateException(error);
      }
      return read[0];
    }

    void round() throws Exception {
      if (harness == null) {
        harness = new SchedulerBenchmarkHarness(engines, false);
        list = new EngineList();
        list.update(true, decode(fullFrame).members());
      }
      count("read the file, us", this::read);
      EndpointListEvent[] all = new EndpointListEvent[1];
      count(
          "decode a whole frame, us",
          () -> all[0] = decode(EngineLists.fullList(++revision, engines)));
      watch.onFrame(revision, true, false);
      List<EngineEndpoint> endpoints =
          all[0].members().stream().map(EngineMember::endpoint).toList();
      count(
          "apply a whole list in the decisions, us",
          () -> harness.scheduler.onEndpoints(harness.now, true, endpoints));
      count("apply a whole list in the gateway, us", () -> list.update(true, all[0].members()));
      harness.step();
      byte[] frame = EngineLists.singleChange(++revision, (int) (revision % engines));
      EndpointListEvent[] one = new EndpointListEvent[1];
      count("decode one change, us", () -> one[0] = decode(frame));
      watch.onFrame(revision, false, false);
      count(
          "apply one change in the decisions, us",
          () ->
              harness.scheduler.onEndpoints(
                  harness.now,
                  false,
                  one[0].members().stream().map(EngineMember::endpoint).toList()));
      count("apply one change in the gateway, us", () -> list.update(false, one[0].members()));
      harness.step();
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
      measureBytes(sizes);
      measureRetainedHeap(sizes);
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
        print(what, points);
      }
    } finally {
      try (var files = Files.walk(folder)) {
        files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      }
    }
    System.out.printf(
        "load average %.1f%n", ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
  }

  private static void measureBytes(List<Size> sizes) throws Exception {
    List<Point> known = new ArrayList<>();
    List<Point> frame = new ArrayList<>();
    for (Size s : sizes) {
      known.add(new Point(s.engines, EngineLists.knownBytes(s.text)));
      frame.add(new Point(s.engines, s.fullFrame.length));
    }
    print("known as JSON, bytes", known);
    print("whole frame, bytes", frame);
    System.out.printf(
        "one change, bytes: %d; quiet frame, bytes: 13, one a second%n",
        EngineLists.singleChange(1, 1).length);
  }

  /** Measures retained heap: holds several copies and reads the heap after collections. */
  private static void measureRetainedHeap(List<Size> sizes) throws Exception {
    // The first reads retain heap that is not part of the list.
    for (int i = 0; i < RETAINED_COPIES; i++) {
      for (Size s : sizes) {
        s.read();
      }
    }
    List<Point> config = new ArrayList<>();
    List<Point> decisions = new ArrayList<>();
    List<Point> gateway = new ArrayList<>();
    for (Size s : sizes) {
      config.add(new Point(s.engines, retainedBytes(s::read)));
    }
    for (Size s : sizes) {
      List<EngineEndpoint> endpoints =
          s.read().knownEngines().stream().map(EngineMember::endpoint).toList();
      decisions.add(
          new Point(s.engines, retainedBytes(() -> SchedulerBenchmarkHarness.listed(endpoints))));
    }
    for (Size s : sizes) {
      List<EngineMember> members = s.read().knownEngines();
      gateway.add(
          new Point(
              s.engines,
              retainedBytes(
                  () -> {
                    EngineList list = new EngineList();
                    list.update(true, members);
                    return list;
                  })));
    }
    print("kept of the configuration, bytes", config);
    print("kept in the decisions, bytes", decisions);
    print("kept in the gateway's list, bytes", gateway);
  }

  private interface Factory {
    Object create() throws Exception;
  }

  private static double retainedBytes(Factory factory) throws Exception {
    Object[] held = new Object[RETAINED_COPIES];
    held[0] = factory.create(); // the first one retains heap that the others share
    long before = heap();
    for (int i = 1; i < RETAINED_COPIES; i++) {
      held[i] = factory.create();
    }
    double bytes = (double) (heap() - before) / (RETAINED_COPIES - 1);
    java.lang.ref.Reference.reachabilityFence(held);
    return bytes;
  }

  private static long heap() throws InterruptedException {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    Runtime r = Runtime.getRuntime();
    return r.totalMemory() - r.freeMemory();
  }

  private static void print(String what, List<Point> points) {
    Fit fit = Fit.of(points);
    System.out.printf("%-42s", what);
    points.forEach(p -> System.out.printf(" %4.0f: %10.1f", p.size(), p.value()));
    System.out.printf(
        "  fit %.1f + %.4f n, residual %.1f, R2 %.4f, knee %.0f%n",
        fit.a(), fit.b(), fit.rms(), fit.r2(), Fit.bend(points));
  }
}
