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

/** One run of the gossip experiment in simulated time: what was asked for, and what came of it. */
public final class VirtualRun {
  private static final long SECOND = VirtualCluster.SECOND;
  private static final long STEP = SECOND / 10;
  private static final int SEEDS = 3;
  private static final int LONGEST_START = 180; // periods until all know each other
  private static final double KNOWN = 0.99; // share of the members that must hold a crash for known

  /** How a peer lies about engines. */
  public enum Lie {
    /** One healthy engine is bad. */
    ONE,
    /** All engines are bad. */
    ALL,
    /** All but one are bad. */
    FRIEND,
    /** One is bad, and well again, in turns of two seconds. */
    FLAP,
    /** The sick ones are well. */
    PRAISE
  }

  /** What is asked for; shares are from 0 to 1, the rate in queries a second at each. */
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

  /** A run that has not been played. */
  public VirtualRun(Plan plan) {
    this.plan = plan;
  }

  /** Plays it; gives its figures by name, in order. */
  public Map<String, Object> play() {
    VirtualCluster cluster = settled();
    VirtualService service =
        plan.engines > 0
            ? new VirtualService(cluster, plan.engines, true, plan.seed, plan.rate)
            : null;
    lie(cluster, service);
    spoil(cluster);
    long falseBefore = cluster.falseDeaths;
    cluster.run(plan.seconds * SECOND / 4);
    sicken(service);
    crashes(cluster);
    joins(cluster);
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

  /** A cluster in which all know each other, and the time that this took. */
  private VirtualCluster settled() {
    VirtualCluster c = new VirtualCluster(plan.seed, plan.period, plan.cap, plan.loss);
    c.add(plan.instances, SEEDS);
    int periods = 0;
    while (!c.agreed() && periods++ < LONGEST_START) {
      c.run(plan.period);
    }
    result.put("settled_periods", c.agreed() ? periods : -1);
    return c;
  }

  private void spoil(VirtualCluster c) {
    int slow = (int) Math.round(plan.slow * plan.instances);
    for (int i = 0; i < slow; i++) {
      c.nodes.get(plan.instances - 1 - i).slow = true;
    }
  }

  /** Liars speak of engines as they like; with collusion all of the same one. */
  private void lie(VirtualCluster c, VirtualService service) {
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
                  claims(engines, engines.get(target), c.agenda.now()),
                  p.revisionMessages());
    }
  }

  private List<PeerReport> claims(List<String> engines, String target, long now) {
    List<PeerReport> told = new ArrayList<>();
    boolean odd = now / (2 * SECOND) % 2 == 1;
    for (String e : engines.subList(0, Math.min(engines.size(), MAX_CLAIMS))) {
      boolean bad =
          switch (plan.lie) {
            case ONE -> e.equals(target);
            case ALL -> true;
            case FRIEND -> !e.equals(target);
            case FLAP -> e.equals(target) && odd;
            case PRAISE -> false;
          };
      boolean spoken = bad || plan.lie == Lie.PRAISE || plan.lie == Lie.FRIEND;
      if (spoken) {
        told.add(new PeerReport(e, 0, bad ? 0 : 50, 0, bad ? 50 : 0, 0));
      }
    }
    return told;
  }

  private static final int MAX_CLAIMS = 16;

  private void sicken(VirtualService service) {
    for (int i = 0; service != null && i < plan.sick; i++) {
      service.sick(service.names().get(i), true);
    }
  }

  /** Instances crash one after another; how soon it is seen, and how soon known. */
  private void crashes(VirtualCluster c) {
    List<Double> seen = new ArrayList<>();
    List<Double> spread = new ArrayList<>();
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
      while (c.agenda.now() < at + LONGEST_START * plan.period
          && c.countHolding(n, MemberState.DEAD) < KNOWN * live) {
        c.run(STEP);
        first = first < 0 && c.countHolding(n, MemberState.SUSPECT) > 0 ? c.agenda.now() : first;
      }
      seen.add((first - at) / (double) plan.period);
      spread.add((c.agenda.now() - first) / (double) plan.period);
    }
    result.put("detect_periods_mean", round(seen.stream().mapToDouble(x -> x).average().orElse(0)));
    result.put("detect_periods_p99", round(highest(seen)));
    result.put("spread_periods_p99", round(highest(spread)));
  }

  /** Of so few values the 99th percentile is the largest. */
  private static double highest(List<Double> values) {
    return values.stream().mapToDouble(x -> x).max().orElse(0);
  }

  private void joins(VirtualCluster c) {
    if (plan.join == 0) {
      return;
    }
    c.add(plan.join, SEEDS);
    int periods = 0;
    while (!c.agreed() && periods++ < LONGEST_START) {
      c.run(plan.period);
    }
    result.put("join_periods", c.agreed() ? periods : -1);
  }

  /** The same arrivals with gossip off, and with all honest. */
  private void compare(VirtualService service) {
    result.put("asked", service.asked());
    result.put("service", round(service.service()));
    result.put("lost_to_sick", service.lostToSick());
    VirtualService alone = other(false, 0);
    result.put("service_alone", round(alone.service()));
    result.put("lost_to_sick_alone", alone.lostToSick());
    result.put(
        "service_honest", round(plan.liars == 0 ? service.service() : other(true, 0).service()));
  }

  private VirtualService other(boolean gossip, int liars) {
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
    run.spoil(c);
    c.run(p.seconds * SECOND / 4);
    run.sicken(s);
    run.crashes(c);
    run.joins(c);
    c.run(p.seconds * SECOND);
    return s;
  }

  private static double round(double value) {
    return Math.round(value * 1e4) / 1e4;
  }
}
