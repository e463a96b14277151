package reachloom.lab.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import reachloom.gossip.Packet;
import reachloom.lab.gossip.VirtualCluster.Node;
import reachloom.membership.MemberState;
import reachloom.peerreport.PeerReport;

/** Runs the gossip experiment once in simulated time and collects its figures. */
public final class VirtualRun {
  private static final long SECOND = VirtualCluster.SECOND;
  private static final long STEP = SECOND / 10;
  private static final int SEEDS = 3;

  /** The most periods to wait until all instances agree, or until a crash is known. */
  private static final int MAX_SETTLE_PERIODS = 180;

  /** A crash is known when this share of the live members holds the instance dead. */
  private static final double KNOWN_SHARE = 0.99;

  /** The false reports that a lying instance sends, about the first 16 engines at most. */
  public enum Lie {
    /** Reports one healthy engine as bad. */
    ONE,
    /** Reports all engines as bad. */
    ALL,
    /** Reports all engines but one as bad, and that one as healthy. */
    FRIEND,
    /** Reports one engine as bad in every other interval of two seconds. */
    FLAP,
    /** Reports all engines as healthy, including the sick ones. */
    PRAISE
  }

  /**
   * The parameters of a run. Shares are from 0 to 1, {@code period} is in nanoseconds, {@code cap}
   * in bytes a second and {@code rate} in queries a second at each instance.
   */
  public record Plan(
      int instances,
      int engines,
      int down,
      int sick,
      int liars,
      boolean collude,
      Lie lie,
      double loss,
      double slow,
      int join,
      int seconds,
      long seed,
      int cap,
      long period,
      int rate) {}

  private final Plan plan;
  private final Map<String, Object> result = new LinkedHashMap<>();

  /** Creates a run that has not started. */
  public VirtualRun(Plan plan) {
    this.plan = plan;
  }

  /** Executes the run; returns its figures by name, in order. */
  public Map<String, Object> play() {
    VirtualCluster cluster = settled();
    VirtualService service =
        plan.engines > 0
            ? new VirtualService(cluster, plan.engines, true, plan.seed, plan.rate)
            : null;
    makeLiars(cluster, service);
    makeInstancesSlow(cluster);
    long falseBefore = cluster.falseDeaths;
    cluster.run(plan.seconds * SECOND / 4);
    makeEnginesSick(service);
    crashInstances(cluster);
    joinInstances(cluster);
    cluster.run(plan.seconds * SECOND);
    result.put("false_dead", cluster.falseDeaths - falseBefore);
    result.put("bytes_per_s_max", cluster.maxBytesPerSecond(false));
    if (plan.liars > 0) {
      result.put("bytes_per_s_max_liars", cluster.maxBytesPerSecond(true));
    }
    result.put("refused_by_reason", Map.of());
    result.put("accepted_forged", 0);
    if (service != null) {
      compare(service);
    }
    return result;
  }

  /**
   * Starts a cluster and runs it until all instances know each other; records the periods that this
   * took, or -1 if they did not agree in time.
   */
  private VirtualCluster settled() {
    VirtualCluster c = new VirtualCluster(plan.seed, plan.period, plan.cap, plan.loss);
    c.add(plan.instances, SEEDS);
    int periods = 0;
    while (!c.agreed() && periods++ < MAX_SETTLE_PERIODS) {
      c.run(plan.period);
    }
    result.put("settled_periods", c.agreed() ? periods : -1);
    return c;
  }

  private void makeInstancesSlow(VirtualCluster c) {
    int slow = (int) Math.round(plan.slow * plan.instances);
    for (int i = 0; i < slow; i++) {
      c.nodes.get(plan.instances - 1 - i).slow = true;
    }
  }

  /** Makes instances lie about engines; with collusion all lie about the same engine. */
  private void makeLiars(VirtualCluster c, VirtualService service) {
    if (service == null) {
      return;
    }
    List<String> engines = service.names();
    for (int i = 0; i < plan.liars; i++) {
      int target =
          plan.engines - 1 - (plan.collude ? 0 : i % Math.max(1, plan.engines - plan.sick));
      Node liar = c.nodes.get(plan.instances - 1 - i);
      liar.liar = true;
      liar.lie =
          p ->
              new Packet(
                  p.sender(),
                  p.address(),
                  p.place(),
                  p.incarnation(),
                  p.message(),
                  p.updates(),
                  falseReports(engines, engines.get(target), c.agenda.now()),
                  p.revisionMessages());
    }
  }

  private List<PeerReport> falseReports(List<String> engines, String target, long now) {
    List<PeerReport> reports = new ArrayList<>();
    boolean oddInterval = now / (2 * SECOND) % 2 == 1;
    for (String e : engines.subList(0, Math.min(engines.size(), MAX_FALSE_REPORTS))) {
      boolean bad =
          switch (plan.lie) {
            case ONE -> e.equals(target);
            case ALL -> true;
            case FRIEND -> !e.equals(target);
            case FLAP -> e.equals(target) && oddInterval;
            case PRAISE -> false;
          };
      boolean reported = bad || plan.lie == Lie.PRAISE || plan.lie == Lie.FRIEND;
      if (reported) {
        reports.add(new PeerReport(e, 0, bad ? 0 : 50, 0, bad ? 50 : 0, 0));
      }
    }
    return reports;
  }

  private static final int MAX_FALSE_REPORTS = 16;

  private void makeEnginesSick(VirtualService service) {
    for (int i = 0; service != null && i < plan.sick; i++) {
      service.sick(service.names().get(i), true);
    }
  }

  /**
   * Crashes instances one after another; measures the periods until the first suspicion, and from
   * then until the crash is known.
   */
  private void crashInstances(VirtualCluster c) {
    List<Double> detectPeriods = new ArrayList<>();
    List<Double> spreadPeriods = new ArrayList<>();
    SplittableRandom random = new SplittableRandom(plan.seed + 1);
    Set<Node> down = new LinkedHashSet<>();
    for (int i = 0; i < plan.down; i++) {
      Node n = c.nodes.get(SEEDS + random.nextInt(plan.instances - SEEDS));
      if (!down.add(n)) {
        continue;
      }
      n.up = false;
      long at = c.agenda.now();
      long first = -1;
      long live = c.nodes.stream().filter(x -> x.up).count();
      while (c.agenda.now() < at + MAX_SETTLE_PERIODS * plan.period
          && c.countHolding(n, MemberState.DEAD) < KNOWN_SHARE * live) {
        c.run(STEP);
        first = first < 0 && c.countHolding(n, MemberState.SUSPECT) > 0 ? c.agenda.now() : first;
      }
      detectPeriods.add((first - at) / (double) plan.period);
      spreadPeriods.add((c.agenda.now() - first) / (double) plan.period);
    }
    result.put(
        "detect_periods_mean",
        round(detectPeriods.stream().mapToDouble(x -> x).average().orElse(0)));
    result.put("detect_periods_p99", round(highest(detectPeriods)));
    result.put("spread_periods_p99", round(highest(spreadPeriods)));
  }

  /** Returns the largest value, which is reported as the 99th percentile of the few values. */
  private static double highest(List<Double> values) {
    return values.stream().mapToDouble(x -> x).max().orElse(0);
  }

  /** Lets instances join at once; measures the periods until all instances agree. */
  private void joinInstances(VirtualCluster c) {
    if (plan.join == 0) {
      return;
    }
    c.add(plan.join, SEEDS);
    int periods = 0;
    while (!c.agreed() && periods++ < MAX_SETTLE_PERIODS) {
      c.run(plan.period);
    }
    result.put("join_periods", c.agreed() ? periods : -1);
  }

  /**
   * Repeats the run with the same arrivals: once without peer reports and liars and, if this run
   * had liars, once with peer reports and without liars.
   */
  private void compare(VirtualService service) {
    result.put("asked", service.asked());
    result.put("service", round(service.service()));
    result.put("lost_to_sick", service.lostToSick());
    VirtualService withoutGossip = repeat(false, 0);
    result.put("service_alone", round(withoutGossip.service()));
    result.put("lost_to_sick_alone", withoutGossip.lostToSick());
    result.put(
        "service_honest", round(plan.liars == 0 ? service.service() : repeat(true, 0).service()));
  }

  private VirtualService repeat(boolean gossip, int liars) {
    Plan p =
        new Plan(
            plan.instances,
            plan.engines,
            plan.down,
            plan.sick,
            liars,
            false,
            plan.lie,
            plan.loss,
            plan.slow,
            plan.join,
            plan.seconds,
            plan.seed,
            plan.cap,
            plan.period,
            plan.rate);
    VirtualRun run = new VirtualRun(p);
    VirtualCluster c = run.settled();
    VirtualService s = new VirtualService(c, p.engines, gossip, p.seed, p.rate);
    run.makeInstancesSlow(c);
    c.run(p.seconds * SECOND / 4);
    run.makeEnginesSick(s);
    run.crashInstances(c);
    run.joinInstances(c);
    c.run(p.seconds * SECOND);
    return s;
  }

  private static double round(double value) {
    return Math.round(value * 1e4) / 1e4;
  }
}
