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
 * What gossip costs a member, and how soon news is with all, by the number of instances: in
 * simulated time, with the real modules and codec. One line of JSON for each part, as soon as it is
 * known. Sizes are built one after another and then measured in turns, so that a busy machine
 * disturbs them alike.
 *
 * <p>Arguments: sizes (with commas), cap in bytes a second, loss, seed, and the period in ms
 * (1000).
 */
public final class GossipSlope {
  private static final long SECOND = VirtualCluster.SECOND;
  private static final int STEPS = 10; // looks at how far news has come, in a period
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final int SEEDS = 3;
  private static final int LONGEST_START = 300; // periods
  private static final int CALMING = 30; // periods after all agree, before anything is measured
  private static final int ROUNDS = 6;
  private static final int ROUND = 10; // simulated seconds
  private static final int ITEMS = 10; // pieces of news, one after another
  private static final int BURST = 10; // ... and at once, each of another member
  private static final int LONGEST_NEWS = 120; // periods
  private static final double MAX_SHARE = 0.99;

  /** The serial collector leaves some of the dead in place but for each fourth time. */
  private static final int COLLECTIONS = 4;

  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private static final ObjectMapper JSON = new ObjectMapper();

  /** One size: its cluster, and what was counted in it. */
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

    /** Plays one simulated second, and notes what each member sent and received in it. */
    void second() {
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

    void countAnew() {
      sent.clear();
      received.clear();
      cpu = 0;
      allocated = 0;
      datagrams = cluster.nodes.stream().mapToLong(n -> n.datagrams).sum();
      receivedDatagrams = cluster.nodes.stream().mapToLong(n -> n.receivedDatagrams).sum();
    }

    /** What was counted since, by member and simulated second. */
    Map<String, Object> counted() {
      Map<String, Object> of = new LinkedHashMap<>();
      double memberSeconds = sent.size();
      tell(of, "sent_bytes_per_s", sent);
      tell(of, "received_bytes_per_s", received);
      of.put(
          "sent_datagrams_per_s",
          round(
              (cluster.nodes.stream().mapToLong(n -> n.datagrams).sum() - datagrams)
                  / memberSeconds));
      of.put(
          "received_datagrams_per_s",
          round(
              (cluster.nodes.stream().mapToLong(n -> n.receivedDatagrams).sum() - receivedDatagrams)
                  / memberSeconds));
      of.put("cpu_us_per_member_s", round(cpu / 1e3 / memberSeconds));
      of.put("allocated_bytes_per_member_s", round(allocated / memberSeconds));
      return of;
    }

    private static void tell(Map<String, Object> of, String name, List<Long> values) {
      long[] sorted = values.stream().mapToLong(x -> x).sorted().toArray();
      of.put(name + "_mean", round(Arrays.stream(sorted).average().orElse(0)));
      of.put(name + "_p99", sorted[(int) (sorted.length * MAX_SHARE)]);
      of.put(name + "_max", sorted[sorted.length - 1]);
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
      long heap = heap();
      Size s = new Size(instances, cap, loss, seed, period);
      Map<String, Object> figures = start(s);
      figures.put("heap_bytes_per_member", (heap() - heap) / instances);
      built.add(s);
      say("start", s, cap, loss, seed, figures);
    }
    for (Size s : built) {
      s.cluster.agenda.runUntil(s.cluster.agenda.now() + CALMING * s.period);
      s.countAnew();
    }
    for (int i = 0; i < ROUNDS; i++) {
      for (Size s : built) {
        for (int j = 0; j < ROUND; j++) {
          s.second();
        }
      }
    }
    for (Size s : built) {
      say("steady", s, cap, loss, seed, s.counted());
    }
    for (Size s : built) {
      say("news", s, cap, loss, seed, news(s, new SplittableRandom(seed + 1)));
    }
  }

  /** All start at once, until each holds exactly the others for present. */
  private static Map<String, Object> start(Size s) {
    s.countAnew();
    long from = s.cluster.agenda.now();
    while (!s.cluster.agreed() && s.cluster.agenda.now() < from + LONGEST_START * s.period) {
      s.second();
    }
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put(
        "settled_periods", s.cluster.agreed() ? (s.cluster.agenda.now() - from) / s.period : -1);
    figures.putAll(s.counted());
    figures.put("any_second_most_bytes", s.cluster.maxBytesPerSecond(false));
    return figures;
  }

  /**
   * A member has news of itself: how many periods until half, 99% and all of the live members hold
   * it.
   */
  private static Map<String, Object> news(Size s, SplittableRandom random) {
    Map<String, Object> figures = new LinkedHashMap<>();
    List<double[]> single = new ArrayList<>();
    for (int i = 0; i < ITEMS; i++) {
      single.addAll(spread(s, List.of(s.cluster.nodes.get(random.nextInt(s.instances)))));
    }
    tell(figures, "news", single);
    List<Node> several = new ArrayList<>();
    while (several.size() < BURST) {
      Node n = s.cluster.nodes.get(random.nextInt(s.instances));
      if (!several.contains(n)) {
        several.add(n);
      }
    }
    tell(figures, "burst_of_10", spread(s, several));
    Node down = s.cluster.nodes.get(SEEDS + random.nextInt(s.instances - SEEDS));
    down.up = false;
    long at = s.cluster.agenda.now();
    long first = -1;
    while (s.cluster.countHolding(down, MemberState.DEAD) < MAX_SHARE * (s.instances - 1)
        && s.cluster.agenda.now() < at + LONGEST_NEWS * s.period) {
      s.cluster.agenda.runUntil(s.cluster.agenda.now() + s.period / STEPS);
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
   * Each of them renews its own entry; gives for each the periods until half, 99% and all hold it.
   */
  private static List<double[]> spread(Size s, List<Node> of) {
    long at = s.cluster.agenda.now();
    long[] wanted = new long[of.size()];
    double[][] after = new double[of.size()][3];
    for (int i = 0; i < of.size(); i++) {
      Node n = of.get(i);
      long old = n.gossip.membership().incarnation();
      Node teller = s.cluster.nodes.get((s.cluster.nodes.indexOf(n) + 1) % s.instances);
      // Somebody has its address wrong: it tells the right one, in an incarnation that goes before.
      n.gossip.receive(
          s.cluster.agenda.now() + n.skew,
          new Packet(
              teller.name,
              teller.address,
              teller.gossip.membership().incarnation(),
              new MembershipMessage.Nack(-1),
              List.of(new MembershipUpdate(n.name, n.address ^ 1, old, MemberState.ALIVE, "")),
              List.of()));
      wanted[i] = n.gossip.membership().incarnation();
      if (wanted[i] == old) {
        throw new IllegalStateException("no news of " + n.name);
      }
      Arrays.fill(after[i], -1);
    }
    while (s.cluster.agenda.now() < at + LONGEST_NEWS * s.period
        && Arrays.stream(after).anyMatch(a -> a[2] < 0)) {
      s.cluster.agenda.runUntil(s.cluster.agenda.now() + s.period / STEPS);
      double periods = (s.cluster.agenda.now() - at) / (double) s.period;
      for (int i = 0; i < of.size(); i++) {
        int holding = 1;
        for (Node n : s.cluster.nodes) {
          holding +=
              n != of.get(i)
                      && n.gossip.membership().member(of.get(i).name).orElseThrow().incarnation()
                          >= wanted[i]
                  ? 1
                  : 0;
        }
        double share = holding / (double) s.instances;
        double[] a = after[i];
        a[0] = a[0] < 0 && share >= 0.5 ? periods : a[0];
        a[1] = a[1] < 0 && share >= MAX_SHARE ? periods : a[1];
        a[2] = a[2] < 0 && share >= 1 ? periods : a[2];
      }
    }
    return List.of(after);
  }

  private static void tell(Map<String, Object> figures, String name, List<double[]> all) {
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

  private static long heap() throws InterruptedException {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    Runtime r = Runtime.getRuntime();
    return r.totalMemory() - r.freeMemory();
  }

  private static void say(
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
