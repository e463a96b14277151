package reachloom.lab.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import reachloom.lab.cluster.Workload.Arrival;
import reachloom.standin.model.EngineModel;

/**
 * What happened, as the engines and the clients saw it, and the rules held against it. It knows
 * nothing of the gateways' decisions. All of it runs on the timeline's thread, in the order of time
 * but for the network's.
 */
public final class HistoryChecker {
  /** Each time limit is so much longer, as the platform's protocol allows. */
  private static final long SLACK = 50 * ClusterPlan.MILLISECOND;

  private static final int MAX_TOLD = 20;
  private static final long LONGEST_MICROS = 60_000_000;

  /** How a query ended for its client. */
  public enum Answer {
    NONE,
    SERVED,
    REFUSED,
    FAILED
  }

  /** One attempt, as its engine saw it. */
  public static final class Try {
    final Query query;
    final int engine;
    final int gateway;
    final long at;

    /** When it was sent, as far as the link's delay tells. */
    final long sentAt;

    final boolean ran;

    /** Its end, or its being given up; the largest time while neither is known. */
    long endAt;

    Try(Query query, int engine, int gateway, long at, long sentAt, boolean ran) {
      this.query = query;
      this.engine = engine;
      this.gateway = gateway;
      this.at = at;
      this.sentAt = sentAt;
      this.ran = ran;
      endAt = ran ? Long.MAX_VALUE : at;
    }
  }

  /** One query, as its client saw it. */
  static final class Query {
    final Arrival arrival;

    /** The gateway that took it, and when; -1 where none did. */
    final int gateway;

    final long takenAt;
    final List<Try> tries = new ArrayList<>(1);
    Answer answer = Answer.NONE;
    int answers;
    long answeredAt;

    /** Its gateway was killed, or its connection ended with it. */
    boolean orphan;

    Query(Arrival arrival, int gateway, long takenAt) {
      this.arrival = arrival;
      this.gateway = gateway;
      this.takenAt = takenAt;
    }

    boolean inAim() {
      return answer == Answer.SERVED
          && answeredAt - arrival.at() <= arrival.of().aimFor(arrival.work());
    }

    double worth() {
      return arrival.of().worth();
    }
  }

  /** What became of the queries of one class; times in milliseconds, of those served. */
  public record Row(
      String kind,
      long asked,
      long inTime,
      long late,
      long refused,
      long failed,
      double p50,
      double p99) {}

  private record Span(long from, long to) {}

  private record Place(int a, int b) {}

  private final ClusterModel world;
  private final ClusterPlan plan;
  private final Map<Long, Query> queries = new HashMap<>();

  /** Queries that nobody took: their gateway was down and its front did not know yet. */
  private final List<Arrival> unplaced = new ArrayList<>();

  private final Map<Place, List<Span>> halts = new HashMap<>();
  private final Map<Place, List<Span>> cuts = new HashMap<>();
  private final Map<Place, Long> haltedNow = new HashMap<>();
  private final Map<Place, Long> cutNow = new HashMap<>();
  private final Map<Place, Long> drainTold = new HashMap<>();
  private final Map<Place, Long> startTold = new HashMap<>();

  /** What some gateways of a zone have not heard: it binds none there until all can have. */
  private final Map<Integer, List<ClusterModel.Event>> unheard = new HashMap<>();

  private final Map<Integer, ArrayDeque<Try>> lately = new HashMap<>();
  private final Map<Integer, List<Query>> byGateway = new TreeMap<>();
  private final Map<String, Integer> broken = new TreeMap<>();
  private final List<String> brokenFirst = new ArrayList<>();
  private final LoadImbalance spread;
  private long start;
  private volatile int owed;
  private int refusedWhileIdle;
  private int fell;

  /** An auditor of what happens in that world from that time on. */
  public HistoryChecker(ClusterModel world, long start) {
    this.world = world;
    this.start = start;
    plan = world.plan;
    spread = new LoadImbalance(world, start);
    world.onTold(this::told);
    world.onFall(this::fell);
  }

  LoadImbalance spread() {
    return spread;
  }

  /** The first query comes at that time. */
  void begin(long at) {
    start = at;
  }

  /** Whether nothing is owed any more; may be asked from any thread. */
  boolean allAnswered() {
    return owed == 0;
  }

  /** Looks at all engines each window from now on. */
  public void watch(long until) {
    spread.watch(until);
  }

  // ---- What clients see ----

  /** A query was taken by that gateway. */
  public Query taken(Arrival a, int gateway, long now) {
    Query q = new Query(a, gateway, now);
    queries.put(a.number(), q);
    owed++;
    byGateway.computeIfAbsent(gateway, g -> new ArrayList<>()).add(q);
    return q;
  }

  /** Nobody could take it. */
  public void unplaced(Arrival a) {
    unplaced.add(a);
  }

  /** A client has its answer, or a further one. */
  public void answered(long number, Answer answer, long now) {
    Query q = queries.get(number);
    if (q == null) {
      broken("answers to nothing asked", number);
      return;
    }
    if (q.answers++ > 0) {
      broken("two answers", number);
      return;
    }
    owed -= q.orphan ? 0 : 1;
    q.answer = answer;
    q.answeredAt = now;
    if (answer != Answer.SERVED) {
      spread.refused();
      refusedWhileIdle += spread.somebodyHadRoom(now, q.arrival.of().threads()) ? 1 : 0;
    }
  }

  /** The connection of an unanswered query ended. */
  public void orphaned(long number, boolean killed) {
    Query q = queries.get(number);
    if (q != null && q.answers == 0 && !q.orphan) {
      owed--;
      q.orphan = killed;
      if (!killed) {
        broken("connection ended without an answer", number);
      }
    }
  }

  /** A gateway stands still from now on, or goes on. */
  void halted(int gateway, boolean now) {
    span(halts, haltedNow, new Place(gateway, -1), now);
  }

  /** The way between two zones is bad from now on, or is well. */
  public void impaired(int from, int to, boolean now) {
    span(cuts, cutNow, new Place(from, to), now);
  }

  private void span(Map<Place, List<Span>> to, Map<Place, Long> open, Place place, boolean now) {
    if (now) {
      open.putIfAbsent(place, world.time.now());
    } else if (open.containsKey(place)) {
      to.computeIfAbsent(place, p -> new ArrayList<>())
          .add(new Span(open.remove(place), world.time.now()));
    }
  }

  // ---- What engines see ----

  /** An attempt has come whole. */
  public Try came(long number, int engine, int gateway, long now, long sentAt, boolean ran) {
    Query q = queries.get(number);
    if (q == null) {
      broken("attempts of nothing asked", number);
      return null;
    }
    if (gateway != q.gateway && gateway >= 0) {
      broken("attempts by a gateway that was not asked", number);
    }
    Try t = new Try(q, engine, q.gateway, now, sentAt, ran);
    checkDrain(t);
    checkAnswered(t);
    checkRepeat(t);
    q.tries.add(t);
    spread.sent(engine);
    ArrayDeque<Try> there = lately.computeIfAbsent(engine, e -> new ArrayDeque<>());
    there.addLast(t);
    while (there.peekFirst().at < now - ClusterPlan.FALL_TIME) {
      there.removeFirst();
    }
    return t;
  }

  /** An attempt has ended at its engine, or was given up there. */
  public void ended(Try t, long now) {
    if (t != null && t.endAt == Long.MAX_VALUE) {
      t.endAt = now;
    }
  }

  /**
   * What gateways of a zone are told does not reach all of them from now on, or does again by now.
   */
  public void setUpdatesBlocked(int zone, boolean now) {
    if (now) {
      unheard.putIfAbsent(zone, new ArrayList<>());
    } else if (unheard.containsKey(zone)) {
      unheard.remove(zone).forEach(e -> told(world.views.get(zone), e));
    }
  }

  private void told(ClusterModel.View view, ClusterModel.Event event) {
    if (unheard.containsKey(view.zone)) {
      unheard.get(view.zone).add(event);
      return;
    }
    ClusterModel.Listed e = event.engine();
    if (e.state() == ClusterModel.READY) {
      drainTold.remove(new Place(view.zone, e.id()));
      startTold.put(new Place(view.zone, e.id()), world.time.now());
    } else {
      drainTold.putIfAbsent(new Place(view.zone, e.id()), world.time.now());
    }
  }

  private void checkDrain(Try t) {
    Long at = drainTold.get(new Place(plan.zoneOf(t.gateway), t.engine));
    if (at != null && t.sentAt > at + GatewayConfigurations.GRACE + SLACK) {
      broken("drain", t.query.arrival.number());
    }
  }

  private void checkAnswered(Try t) {
    if (t.query.answers > 0 && t.sentAt > t.query.answeredAt + SLACK) {
      broken("sent after the answer", t.query.arrival.number());
    }
  }

  private void checkRepeat(Try t) {
    Workload.Kind kind = t.query.arrival.of();
    for (Try before : t.query.tries) {
      if (!before.ran || !t.ran) {
        continue;
      }
      if (kind.effect().equals("once")) {
        broken("ran twice", t.query.arrival.number());
      } else if (kind.effect().equals("by_key")
          && t.sentAt > before.at + GatewayConfigurations.KEY_WINDOW + SLACK) {
        broken("repeated after its window", t.query.arrival.number());
      }
      if (before.endAt == Long.MAX_VALUE && !impairedSince(before)) {
        // Given up on a way that is well, it has come to its engine by then.
        world.time.at(
            t.at + SLACK,
            () -> {
              boolean both = Math.min(before.endAt, t.endAt) > t.at + SLACK;
              if (both && !impairedSince(before) && !impairedSince(t)) {
                broken("two attempts out", t.query.arrival.number());
              }
            });
      }
    }
  }

  private boolean impairedSince(Try t) {
    Place place = new Place(plan.zoneOf(t.gateway), plan.zoneOfEngine(t.engine));
    return cutNow.containsKey(place)
        || halted(t.gateway, t.at, Long.MAX_VALUE)
        || cuts.getOrDefault(place, List.of()).stream().anyMatch(s -> s.to > t.at);
  }

  private boolean halted(int gateway, long from, long to) {
    return haltedNow.containsKey(new Place(gateway, -1))
        || halts.getOrDefault(new Place(gateway, -1), List.of()).stream()
            .anyMatch(s -> s.from < to && s.to > from);
  }

  private void fell(EngineModel e) {
    fell++;
    // The rule is broken where over two thirds of it came from gateways that had been told of the
    // start.
    ArrayDeque<Try> there = lately.getOrDefault(e.id, new ArrayDeque<>());
    long told =
        there.stream()
            .filter(
                t ->
                    startTold.getOrDefault(new Place(plan.zoneOf(t.gateway), e.id), Long.MAX_VALUE)
                        < t.sentAt)
            .count();
    if (3 * told > 2 * there.size()) {
      broken("cold engine pushed over", e.id);
    }
  }

  private void broken(String rule, long who) {
    if (broken.merge(rule, 1, Integer::sum) == 1 && brokenFirst.size() < MAX_TOLD) {
      brokenFirst.add(
          String.format("%s: first at %.3f s, %x", rule, (world.time.now() - start) / 1e9, who));
    }
  }

  // ---- At the end ----

  /** Looks at what can be told only once all is over. */
  private void close(long now) {
    for (Query q : queries.values()) {
      long limit = q.arrival.at() + q.arrival.of().deadline() + SLACK;
      boolean halted = halted(q.gateway, q.arrival.at(), limit);
      if (q.answers == 0 && !q.orphan && limit < now && !halted) {
        broken("unanswered", q.arrival.number());
      } else if (q.answers > 0 && q.answeredAt > limit && !halted) {
        broken("answered too late", q.arrival.number());
      }
    }
    byGateway.values().forEach(this::checkFurther);
  }

  /** Further attempts of one gateway within any window, against what it took in it. */
  private void checkFurther(List<Query> of) {
    List<Long> further =
        of.stream().flatMap(q -> q.tries.stream().skip(1)).map(t -> t.at).sorted().toList();
    List<Long> taken = of.stream().map(q -> q.takenAt).sorted().toList();
    int fromTry = 0;
    int fromQuery = 0;
    int toQuery = 0;
    for (int i = 0; i < further.size(); i++) {
      long at = further.get(i);
      long since = at - GatewayConfigurations.LOOK_BACK;
      while (further.get(fromTry) < since + SLACK) {
        fromTry++;
      }
      while (fromQuery < taken.size() && taken.get(fromQuery) < since - SLACK) {
        fromQuery++;
      }
      while (toQuery < taken.size() && taken.get(toQuery) <= at) {
        toQuery++;
      }
      double most =
          GatewayConfigurations.EXTRA_FREE
              + GatewayConfigurations.EXTRA_PER_QUERY * (toQuery - fromQuery);
      if (i - fromTry + 1 > most) {
        broken("further attempts", of.get(0).gateway);
        return;
      }
    }
  }

  /**
   * All figures; {@code service} is the share of the worth asked for that was served in the time
   * wanted.
   */
  public Map<String, Object> figures(long now, long settled) {
    close(now);
    List<Query> all = queries.values().stream().filter(q -> q.arrival.at() >= settled).toList();
    Map<String, Object> f = new java.util.LinkedHashMap<>();
    double worth =
        all.stream().mapToDouble(Query::worth).sum()
            + unplaced.stream().mapToDouble(a -> a.of().worth()).sum();
    f.put("asked", all.size() + unplaced.size());
    f.put(
        "service", share(all.stream().filter(Query::inAim).mapToDouble(Query::worth).sum(), worth));
    for (int k = 0; k < Workload.KINDS.size(); k++) {
      int kind = k;
      List<Query> some = all.stream().filter(q -> q.arrival.kind() == kind).toList();
      f.put(
          "service_" + Workload.KINDS.get(k).name(),
          share(
              some.stream().filter(Query::inAim).count(),
              some.size() + unplaced.stream().filter(a -> a.kind() == kind).count()));
    }
    f.put("service_worst_5s", worstSpan(all));
    f.put("service_by_5s", spans(all));
    f.put(
        "late",
        share(count(all, Answer.SERVED) - all.stream().filter(Query::inAim).count(), all.size()));
    f.put("refused", share(count(all, Answer.REFUSED), all.size()));
    f.put("failed", share(count(all, Answer.FAILED), all.size()));
    f.put("unplaced", unplaced.size());
    f.put("orphans", all.stream().filter(q -> q.orphan).count());
    f.put(
        "unanswered",
        broken.getOrDefault("unanswered", 0)
            + broken.getOrDefault("connection ended without an answer", 0));
    f.put("attempts", share(all.stream().mapToInt(q -> q.tries.size()).sum(), all.size()));
    f.put("refused_while_idle", share(refusedWhileIdle, queries.size()));
    f.put("fell_over", fell);
    f.put(
        "cold_most",
        Math.round(
                1e3
                    * world.engines.values().stream()
                        .mapToDouble(EngineModel::peakColdLoad)
                        .max()
                        .orElse(0))
            / 1e3);
    f.put("rules_broken", broken.values().stream().mapToInt(i -> i).sum());
    if (!broken.isEmpty()) {
      f.put("broken", new TreeMap<>(broken));
      f.put("broken_first", List.copyOf(brokenFirst));
    }
    f.putAll(spread.figures());
    return f;
  }

  /** By class, for the queries that came so long after the first one could. */
  List<Row> rows(long after) {
    List<Row> rows = new ArrayList<>();
    for (int k = 0; k < Workload.KINDS.size(); k++) {
      int kind = k;
      List<Query> of =
          queries.values().stream()
              .filter(q -> q.arrival.kind() == kind && q.arrival.at() >= start + after)
              .toList();
      Histogram times = new Histogram(LONGEST_MICROS, 3);
      of.stream()
          .filter(q -> q.answer == Answer.SERVED)
          .forEach(
              q ->
                  times.recordValue(
                      Math.max(
                          0, Math.min(LONGEST_MICROS, (q.answeredAt - q.arrival.at()) / 1_000))));
      long inTime = of.stream().filter(Query::inAim).count();
      rows.add(
          new Row(
              Workload.KINDS.get(k).name(),
              of.size(),
              inTime,
              count(of, Answer.SERVED) - inTime,
              count(of, Answer.REFUSED),
              count(of, Answer.FAILED) + count(of, Answer.NONE),
              times.getValueAtPercentile(50) / 1e3,
              times.getValueAtPercentile(99) / 1e3));
    }
    return rows;
  }

  private static long count(List<Query> of, Answer answer) {
    return of.stream().filter(q -> q.answer == answer).count();
  }

  static double share(double part, double whole) {
    return whole == 0 ? 0 : Math.round(1e5 * part / whole) / 1e5;
  }

  private List<Double> spans(List<Query> all) {
    TreeMap<Long, double[]> by = new TreeMap<>();
    for (Query q : all) {
      double[] sums =
          by.computeIfAbsent(
              (q.arrival.at() - start) / (5 * ClusterPlan.SECOND), k -> new double[2]);
      sums[0] += q.inAim() ? q.worth() : 0;
      sums[1] += q.worth();
    }
    for (Arrival a : unplaced) {
      by.computeIfAbsent((a.at() - start) / (5 * ClusterPlan.SECOND), k -> new double[2])[1] +=
          a.of().worth();
    }
    return by.values().stream().map(s -> share(s[0], s[1])).toList();
  }

  private double worstSpan(List<Query> all) {
    return spans(all).stream().mapToDouble(d -> d).min().orElse(0);
  }
}
