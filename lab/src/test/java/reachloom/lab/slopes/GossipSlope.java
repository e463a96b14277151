package reachloom.lab.slopes;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import reachloom.gossip.Packet;
import reachloom.lab.gossip.VirtualCluster;
import reachloom.lab.gossip.VirtualCluster.Node;
import reachloom.membership.MemberState;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipUpdate;

/**
 * Measures what gossip costs a member and how fast an update reaches all members, by the number of
 * instances, in simulated time and with the real modules and codec. Prints one line of JSON for
 * each part as soon as it is measured. Sizes are built one after another and then measured in
 * turns, so that load on the machine disturbs them equally.
 *
 * <p>Arguments: sizes (with commas), cap in bytes a second, loss, seed, and the period in ms
 * (1000).
 */
public final class GossipSlope {
  private static final long SECOND = VirtualCluster.SECOND;
  private static final int STEPS_PER_PERIOD = 10; // checks of how far an update has spread
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final int SEEDS = 3;
  private static final int MAX_START_PERIODS = 300;
  private static final int CALM_PERIODS = 30; // between agreement and the measurement
  private static final int ROUNDS = 6;
  private static final int ROUND_SECONDS = 10; // simulated
  private static final int SINGLE_UPDATES = 10; // one after another
  private static final int BURST_UPDATES = 10; // at once, each of another member
  private static final int MAX_SPREAD_PERIODS = 120;
  private static final double SHARE_99 = 0.99;

  /** The serial collector removes all unreachable objects only in every fourth collection. */
  private static final int COLLECTIONS = 4;

  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private static final ObjectMapper JSON = new ObjectMapper();

  /** A cluster of one size with its counters. */
  private static final class Size {
    private final int instances;
    private final long period;
    private final VirtualCluster cluster;
    private final List<Long> sent = new ArrayList<>();
    private final List<Long> received = new ArrayList<>();
    private final long[] before;
    private final long[] receivedBefore;
    private long cpu;
    private long allocated;
    private long datagrams;
    private long receivedDatagrams;

    Size(int instances, int cap, double loss, long seed, long period) {
      this.instances = instances;
      this.period = period;
      cluster = new VirtualCluster(seed, period, cap, loss);
      cluster.add(instances, SEEDS);
      before = new long[instances];
      receivedBefore = new long[instances];
    }

    /** Runs one simulated second and records the bytes that each member sent and received. */
    void runSecond() {
      for (int i = 0; i < instances; i++) {
        before[i] = cluster.nodes.get(i).bytes;
        receivedBefore[i] = cluster.nodes.get(i).receivedBytes;
      }
      long cpuBefore = THREADS.getCurrentThreadCpuTime();
      long allocatedBefore = THREADS.getCurrentThreadAllocatedBytes();
      cluster.agenda.runUntil(cluster.agenda.now() + SECOND);
      cpu += THREADS.getCurrentThreadCpuTime() - cpuBefore;
      allocated += THREADS.getCurrentThreadAllocatedBytes() - allocatedBefore;
      for (int i = 0; i < instances; i++) {
        sent.add(cluster.nodes.get(i).bytes - before[i]);
        received.add(cluster.nodes.get(i).receivedBytes - receivedBefore[i]);
      }
    }

    void resetCounters() {
      sent.clear();
      received.clear();
      cpu = 0;
      allocated = 0;
      datagrams = cluster.nodes.stream().mapToLong(n -> n.datagrams).sum();
      receivedDatagrams = cluster.nodes.stream().mapToLong(n -> n.receivedDatagrams).sum();
    }

    /** Returns the figures per member and simulated second since the counters were reset. */
    Map<String, Object> figures() {
      Map<String, Object> figures = new LinkedHashMap<>();
      double memberSeconds = sent.size();
      addDistribution(figures, "sent_bytes_per_s", sent);
      addDistribution(figures, "received_bytes_per_s", received);
      figures.put(
          "sent_datagrams_per_s",
          round(
              (cluster.nodes.stream().mapToLong(n -> n.datagrams).sum() - datagrams)
                  / memberSeconds));
      figures.put(
          "received_datagrams_per_s",
          round(
              (cluster.nodes.stream().mapToLong(n -> n.receivedDatagrams).sum() - receivedDatagrams)
                  / memberSeconds));
      figures.put("cpu_us_per_member_s", round(cpu / 1e3 / memberSeconds));
      figures.put("allocated_bytes_per_member_s", round(allocated / memberSeconds));
      return figures;
    }

    private static void addDistribution(
        Map<String, Object> figures, String name, List<Long> values) {
      long[] sorted = values.stream().mapToLong(x -> x).sorted().toArray();
      figures.put(name + "_mean", round(Arrays.stream(sorted).average().orElse(0)));
      figures.put(name + "_p99", sorted[(int) (sorted.length * SHARE_99)]);
      figures.put(name + "_max", sorted[sorted.length - 1]);
    }
  }

  private GossipSlope() {}

  public static void main(String[] args) throws Exception {
    int[] sizes = Arrays.stream(args[0].split(",")).mapToInt(Integer::parseInt).toArray();
    int cap = Integer.parseInt(args[1]);
    double loss = Double.parseDouble(args[2]);
    long seed = Long.parseLong(args[3]);
    long period = (args.length > 4 ? Long.parseLong(args[4]) : 1_000) * MILLISECOND;
    List<Size> built = new ArrayList<>();
    for (int instances : sizes) {
      long heapBefore = heapBytes();
      Size s = new Size(instances, cap, loss, seed, period);
      Map<String, Object> figures = start(s);
      figures.put("heap_bytes_per_member", (heapBytes() - heapBefore) / instances);
      built.add(s);
      print("start", s, cap, loss, seed, figures);
    }
    for (Size s : built) {
      s.cluster.agenda.runUntil(s.cluster.agenda.now() + CALM_PERIODS * s.period);
      s.resetCounters();
    }
    for (int i = 0; i < ROUNDS; i++) {
      for (Size s : built) {
        for (int j = 0; j < ROUND_SECONDS; j++) {
          s.runSecond();
        }
      }
    }
    for (Size s : built) {
      print("steady", s, cap, loss, seed, s.figures());
    }
    for (Size s : built) {
      print("news", s, cap, loss, seed, measureSpread(s, new SplittableRandom(seed + 1)));
    }
  }

  /** Runs the start of all members at once until they agree on the membership. */
  private static Map<String, Object> start(Size s) {
    s.resetCounters();
    long from = s.cluster.agenda.now();
    while (!s.cluster.agreed() && s.cluster.agenda.now() < from + MAX_START_PERIODS * s.period) {
      s.runSecond();
    }
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put(
        "settled_periods", s.cluster.agreed() ? (s.cluster.agenda.now() - from) / s.period : -1);
    figures.putAll(s.figures());
    figures.put("any_second_most_bytes", s.cluster.maxBytesPerSecond(false));
    return figures;
  }

  /**
   * Measures the periods until half, 99% and all live members hold an update of a member, until a
   * crash is first suspected, and from then until 99% of them hold the crashed member dead.
   */
  private static Map<String, Object> measureSpread(Size s, SplittableRandom random) {
    Map<String, Object> figures = new LinkedHashMap<>();
    List<double[]> single = new ArrayList<>();
    for (int i = 0; i < SINGLE_UPDATES; i++) {
      single.addAll(spreadPeriods(s, List.of(s.cluster.nodes.get(random.nextInt(s.instances)))));
    }
    addSpread(figures, "news", single);
    List<Node> burst = new ArrayList<>();
    while (burst.size() < BURST_UPDATES) {
      Node n = s.cluster.nodes.get(random.nextInt(s.instances));
      if (!burst.contains(n)) {
        burst.add(n);
      }
    }
    addSpread(figures, "burst_of_10", spreadPeriods(s, burst));
    Node down = s.cluster.nodes.get(SEEDS + random.nextInt(s.instances - SEEDS));
    down.up = false;
    long at = s.cluster.agenda.now();
    long first = -1;
    while (s.cluster.countHolding(down, MemberState.DEAD) < SHARE_99 * (s.instances - 1)
        && s.cluster.agenda.now() < at + MAX_SPREAD_PERIODS * s.period) {
      s.cluster.agenda.runUntil(s.cluster.agenda.now() + s.period / STEPS_PER_PERIOD);
      first =
          first < 0 && s.cluster.countHolding(down, MemberState.SUSPECT) > 0
              ? s.cluster.agenda.now()
              : first;
    }
    figures.put("crash_first_seen", round((first - at) / (double) s.period));
    figures.put(
        "crash_known_to_99_after_that",
        round((s.cluster.agenda.now() - first) / (double) s.period));
    return figures;
  }

  /**
   * Lets each of the nodes renew its own entry; returns for each the periods until half, 99% and
   * all members hold it.
   */
  private static List<double[]> spreadPeriods(Size s, List<Node> updated) {
    long at = s.cluster.agenda.now();
    long[] expected = new long[updated.size()];
    double[][] after = new double[updated.size()][3];
    for (int i = 0; i < updated.size(); i++) {
      Node n = updated.get(i);
      long old = n.gossip.membership().incarnation();
      Node peer = s.cluster.nodes.get((s.cluster.nodes.indexOf(n) + 1) % s.instances);
      // A peer reports a wrong address of the node, so the node publishes the right one in a newer
      // incarnation.
      n.gossip.receive(
          s.cluster.agenda.now() + n.skew,
          new Packet(
              peer.name,
              peer.address,
              peer.gossip.membership().incarnation(),
              new MembershipMessage.Nack(-1),
              List.of(new MembershipUpdate(n.name, n.address ^ 1, old, MemberState.ALIVE, "")),
              List.of()));
      expected[i] = n.gossip.membership().incarnation();
      if (expected[i] == old) {
        throw new IllegalStateException(n.name + " did not renew its entry");
      }
      Arrays.fill(after[i], -1);
    }
    while (s.cluster.agenda.now() < at + MAX_SPREAD_PERIODS * s.period
        && Arrays.stream(after).anyMatch(a -> a[2] < 0)) {
      s.cluster.agenda.runUntil(s.cluster.agenda.now() + s.period / STEPS_PER_PERIOD);
      double periods = (s.cluster.agenda.now() - at) / (double) s.period;
      for (int i = 0; i < updated.size(); i++) {
        int holding = 1;
        for (Node n : s.cluster.nodes) {
          holding +=
              n != updated.get(i)
                      && n.gossip
                              .membership()
                              .member(updated.get(i).name)
                              .orElseThrow()
                              .incarnation()
                          >= expected[i]
                  ? 1
                  : 0;
        }
        double share = holding / (double) s.instances;
        double[] a = after[i];
        a[0] = a[0] < 0 && share >= 0.5 ? periods : a[0];
        a[1] = a[1] < 0 && share >= SHARE_99 ? periods : a[1];
        a[2] = a[2] < 0 && share >= 1 ? periods : a[2];
      }
    }
    return List.of(after);
  }

  private static void addSpread(Map<String, Object> figures, String name, List<double[]> all) {
    String[] shares = {"50", "99", "100"};
    for (int i = 0; i < shares.length; i++) {
      int share = i;
      double[] known =
          all.stream().mapToDouble(a -> a[share]).filter(x -> x >= 0).sorted().toArray();
      figures.put(
          name + "_to_" + shares[i] + "_mean", round(Arrays.stream(known).average().orElse(-1)));
      figures.put(
          name + "_to_" + shares[i] + "_max", known.length == 0 ? -1 : known[known.length - 1]);
      figures.put(name + "_to_" + shares[i] + "_never", all.size() - known.length);
    }
  }

  private static long heapBytes() throws InterruptedException {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    Runtime r = Runtime.getRuntime();
    return r.totalMemory() - r.freeMemory();
  }

  private static void print(
      String part, Size s, int cap, double loss, long seed, Map<String, Object> figures)
      throws Exception {
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("part", part);
    line.put("instances", s.instances);
    line.put("cap", cap);
    line.put("loss", loss);
    line.put("seed", seed);
    line.put("period_ms", s.period / MILLISECOND);
    line.put("load_average", ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    line.putAll(figures);
    System.out.println(JSON.writeValueAsString(line));
  }

  private static double round(double value) {
    return Math.round(value * 100) / 100.0;
  }
}
