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
 * Records the history of a run as engines and clients observe it, and checks it against the rules
 * that gateways must keep. It does not know the gateways' decisions. All methods but {@link
 * #allAnswered} run on the scheduler's thread; events are in order of time, except for delays in
 * the network.
 */
public final class HistoryChecker {
  /** Tolerance added to each time limit, in nanoseconds, as the platform's protocol allows. */
  private static final long SLACK = 50 * ClusterPlan.MILLISECOND;

  private static final int MAX_REPORTED_VIOLATIONS = 20;

  /** An engine may be told this much more than the client's remaining time. */
  private static final long MAX_EXCESS_BUDGET_MS = 150;

  private static final long MAX_LATENCY_MICROS = 60_000_000;

  /** How a query ended for its client. */
  public enum Answer {
    NONE,
    SERVED,
    REFUSED,
    FAILED
  }

  /** One attempt, as its engine observed it. */
  public static final class Attempt {
    final QueryRecord query;
    final int engine;
    final int gateway;
    final long at;

    /** When the gateway sent the attempt, computed from the link's delay. */
    final long sentAt;

    /** Whether the engine accepted the attempt. */
    final boolean ran;

    /** When the attempt ended or was cancelled; {@code Long.MAX_VALUE} while it runs. */
    long endAt;

    Attempt(QueryRecord query, int engine, int gateway, long at, long sentAt, boolean ran) {
      this.query = query;
      this.engine = engine;
      this.gateway = gateway;
      this.at = at;
      this.sentAt = sentAt;
      this.ran = ran;
      endAt = ran ? Long.MAX_VALUE : at;
    }
  }

  /** One query, as its client observed it. */
  static final class QueryRecord {
    final Arrival arrival;

    /** The gateway to which the client sent the query last. */
    int gateway;

    final long acceptedAt;
    final List<Attempt> attempts = new ArrayList<>(1);
    Answer answer = Answer.NONE;
    int answers;
    long answeredAt;

    /** Whether the client's connection ended because the gateway was killed. */
    boolean gatewayKilled;

    QueryRecord(Arrival arrival, int gateway, long acceptedAt) {
      this.arrival = arrival;
      this.gateway = gateway;
      this.acceptedAt = acceptedAt;
    }

    boolean inTime() {
      return answer == Answer.SERVED
          && answeredAt - arrival.at() <= arrival.of().goalTimeFor(arrival.work());
    }

    double worth() {
      return arrival.of().worth();
    }
  }

  /** Outcomes of the queries of one class; times are those of served queries, in milliseconds. */
  public record Row(
      String kind,
      long asked,
      long inTime,
      long late,
      long refused,
      long failed,
      double p50,
      double p99) {}

  /** Two zones, or a zone and an engine. */
  private record Key(int a, int b) {}

  private final ClusterModel model;
  private final ClusterPlan plan;
  private final Map<Long, QueryRecord> queries = new HashMap<>();

  /**
   * Queries without a gateway: theirs was down and the front end had not noticed it yet, or all
   * gateways were down.
   */
  private final List<Arrival> unplaced = new ArrayList<>();

  private final FaultIntervals<Integer> haltedGateways = new FaultIntervals<>();
  private final FaultIntervals<Key> impairedLinks = new FaultIntervals<>();
  private final Map<Key, Long> drainDeliveredAt = new HashMap<>();
  private final Map<Key, Long> readyDeliveredAt = new HashMap<>();

  /**
   * Events, by zone, that have not reached all gateways of the zone; the rules apply to none of its
   * gateways until all can have received them.
   */
  private final Map<Integer, List<ClusterModel.Event>> blockedEvents = new HashMap<>();

  private final Map<Integer, ArrayDeque<Attempt>> recentAttempts = new HashMap<>();
  private final Map<Integer, List<QueryRecord>> byGateway = new TreeMap<>();
  private final Map<String, Integer> broken = new TreeMap<>();
  private final List<String> brokenFirst = new ArrayList<>();
  private final LoadImbalance loadImbalance;
  private long start;
  private volatile int pendingAnswers;
  private int refusedWhileIdle;
  private int overloadFailures;
  private long maxExcessBudgetMs;
  private int excessiveBudgets;

  /** Creates a checker of the events in a cluster model from a time on. */
  public HistoryChecker(ClusterModel model, long start) {
    this.model = model;
    this.start = start;
    plan = model.plan;
    loadImbalance = new LoadImbalance(model, start);
    model.onDelivery(this::onDelivery);
    model.onOverload(this::onOverload);
  }

  LoadImbalance loadImbalance() {
    return loadImbalance;
  }

  /** Sets the time of the first query. */
  void begin(long at) {
    start = at;
  }

  /** Returns whether no query waits for an answer; may be called on any thread. */
  boolean allAnswered() {
    return pendingAnswers == 0;
  }

  /** Samples the load of all engines in each window until a time. */
  public void watch(long until) {
    loadImbalance.watch(until);
  }

  // ---- Clients' events ----

  /** Records a query that its client sends to a gateway. */
  public QueryRecord queryAccepted(Arrival a, int gateway, long now) {
    QueryRecord q = new QueryRecord(a, gateway, now);
    queries.put(a.number(), q);
    pendingAnswers++;
    byGateway.computeIfAbsent(gateway, g -> new ArrayList<>()).add(q);
    return q;
  }

  /** Records that a client sends a query to another gateway, since its connection has ended. */
  void queryMoved(long number, int gateway) {
    queries.get(number).gateway = gateway;
  }

  /** Records a query that could be sent to no gateway. */
  public void unplaced(Arrival a) {
    unplaced.add(a);
  }

  /** Records an answer to a client; a second answer to one query is a violation. */
  public void answered(long number, Answer answer, long now) {
    QueryRecord q = queries.get(number);
    if (q == null) {
      recordViolation("answers to nothing asked", number);
      return;
    }
    if (q.answers++ > 0) {
      recordViolation("two answers", number);
      return;
    }
    pendingAnswers -= q.gatewayKilled ? 0 : 1;
    q.answer = answer;
    q.answeredAt = now;
    if (answer != Answer.SERVED) {
      loadImbalance.refused();
      refusedWhileIdle += loadImbalance.hadIdleEngine(now, q.arrival.of().threads()) ? 1 : 0;
    }
  }

  /**
   * Records that the connection of a query ended; without an answer this is a violation unless the
   * gateway was killed.
   */
  public void connectionClosed(long number, boolean killed) {
    QueryRecord q = queries.get(number);
    if (q != null && q.answers == 0 && !q.gatewayKilled) {
      pendingAnswers--;
      q.gatewayKilled = killed;
      if (!killed) {
        recordViolation("connection ended without an answer", number);
      }
    }
  }

  /** Records the start or the end of a gateway's halt. */
  void halted(int gateway, boolean now) {
    haltedGateways.record(gateway, now, model.time.now());
  }

  /** Records the start or the end of an impairment of the link between two zones. */
  public void impaired(int from, int to, boolean now) {
    impairedLinks.record(new Key(from, to), now, model.time.now());
  }

  // ---- Engines' events ----

  /**
   * Records an attempt whose request an engine has received completely, and checks it.
   *
   * @param gateway the sending gateway; -1 if the engine does not know it
   * @param sentAt when the gateway sent the attempt, in nanoseconds
   * @param ran whether the engine accepted the attempt
   * @return the attempt; null if its query is unknown
   */
  public Attempt attemptReceived(
      long number, int engine, int gateway, long now, long sentAt, boolean ran) {
    QueryRecord q = queries.get(number);
    if (q == null) {
      recordViolation("attempts of nothing asked", number);
      return null;
    }
    if (gateway != q.gateway && gateway >= 0) {
      recordViolation("attempts by a gateway that was not asked", number);
    }
    Attempt t = new Attempt(q, engine, q.gateway, now, sentAt, ran);
    checkDrain(t);
    checkAnswered(t);
    checkRepeat(t);
    q.attempts.add(t);
    loadImbalance.sent(engine);
    ArrayDeque<Attempt> recent = recentAttempts.computeIfAbsent(engine, e -> new ArrayDeque<>());
    recent.addLast(t);
    while (recent.peekFirst().at < now - ClusterPlan.FALL_TIME) {
      recent.removeFirst();
    }
    return t;
  }

  /**
   * Records how much time an engine was told that an attempt has, in milliseconds. What it is told
   * beyond the client's remaining time includes the attempt's way to the engine.
   */
  void budgetReceived(Attempt t, long budgetMs) {
    long leftNanos = t.query.arrival.at() + t.query.arrival.of().deadline() - t.at;
    long excessMs = budgetMs - leftNanos / ClusterPlan.MILLISECOND;
    maxExcessBudgetMs = Math.max(maxExcessBudgetMs, excessMs);
    excessiveBudgets += excessMs > MAX_EXCESS_BUDGET_MS ? 1 : 0;
  }

  /** Records that an attempt has ended or was cancelled at its engine. */
  public void attemptEnded(Attempt t, long now) {
    if (t != null && t.endAt == Long.MAX_VALUE) {
      t.endAt = now;
    }
  }

  /**
   * Records that list updates do not reach all gateways of a zone, or that they reach all again.
   */
  public void setUpdatesBlocked(int zone, boolean now) {
    if (now) {
      blockedEvents.putIfAbsent(zone, new ArrayList<>());
    } else if (blockedEvents.containsKey(zone)) {
      blockedEvents.remove(zone).forEach(e -> onDelivery(model.views.get(zone), e));
    }
  }

  private void onDelivery(ClusterModel.View view, ClusterModel.Event event) {
    if (blockedEvents.containsKey(view.zone)) {
      blockedEvents.get(view.zone).add(event);
      return;
    }
    ClusterModel.ListEntry e = event.engine();
    if (e.state() == ClusterModel.READY) {
      drainDeliveredAt.remove(new Key(view.zone, e.id()));
      readyDeliveredAt.put(new Key(view.zone, e.id()), model.time.now());
    } else {
      drainDeliveredAt.putIfAbsent(new Key(view.zone, e.id()), model.time.now());
    }
  }

  private void checkDrain(Attempt t) {
    Long at = drainDeliveredAt.get(new Key(plan.zoneOf(t.gateway), t.engine));
    if (at != null && t.sentAt > at + GatewayConfigurations.DRAIN_GRACE + SLACK) {
      recordViolation("drain", t.query.arrival.number());
    }
  }

  private void checkAnswered(Attempt t) {
    if (t.query.answers > 0 && t.sentAt > t.query.answeredAt + SLACK) {
      recordViolation("sent after the answer", t.query.arrival.number());
    }
  }

  private void checkRepeat(Attempt t) {
    Workload.Kind kind = t.query.arrival.of();
    for (Attempt before : t.query.attempts) {
      if (!before.ran || !t.ran) {
        continue;
      }
      if (kind.effect().equals("once")) {
        recordViolation("ran twice", t.query.arrival.number());
      } else if (kind.effect().equals("by_key")
          && t.sentAt > before.at + GatewayConfigurations.KEY_WINDOW + SLACK) {
        recordViolation("repeated after its window", t.query.arrival.number());
      }
      if (before.endAt == Long.MAX_VALUE && !impairedSince(before)) {
        // On a healthy link the cancellation of the first attempt arrives within the slack.
        model.time.at(
            t.at + SLACK,
            () -> {
              boolean both = Math.min(before.endAt, t.endAt) > t.at + SLACK;
              if (both && !impairedSince(before) && !impairedSince(t)) {
                recordViolation("two attempts out", t.query.arrival.number());
              }
            });
      }
    }
  }

  private boolean impairedSince(Attempt t) {
    Key link = new Key(plan.zoneOf(t.gateway), plan.zoneOfEngine(t.engine));
    return impairedLinks.impairedSince(link, t.at) || haltedGateways.impairedSince(t.gateway, t.at);
  }

  private void onOverload(EngineModel e) {
    overloadFailures++;
    // A violation if over two thirds of the recent attempts came from gateways that had received
    // the event of the engine's start.
    ArrayDeque<Attempt> recent = recentAttempts.getOrDefault(e.id, new ArrayDeque<>());
    long informed =
        recent.stream()
            .filter(
                t ->
                    readyDeliveredAt.getOrDefault(
                            new Key(plan.zoneOf(t.gateway), e.id), Long.MAX_VALUE)
                        < t.sentAt)
            .count();
    if (3 * informed > 2 * recent.size()) {
      recordViolation("cold engine pushed over", e.id);
    }
  }

  private void recordViolation(String rule, long id) {
    if (broken.merge(rule, 1, Integer::sum) == 1 && brokenFirst.size() < MAX_REPORTED_VIOLATIONS) {
      brokenFirst.add(
          String.format("%s: first at %.3f s, %x", rule, (model.time.now() - start) / 1e9, id));
    }
  }

  // ---- End of the run ----

  /** Checks the rules that can be checked only after the run. */
  private void checkAtEnd(long now) {
    for (QueryRecord q : queries.values()) {
      long latest = latestAnswer(q);
      if (q.answers == 0 && !q.gatewayKilled && latest < now) {
        recordViolation("unanswered", q.arrival.number());
      } else if (q.answers > 0 && q.answeredAt > latest) {
        recordViolation("answered too late", q.arrival.number());
      }
    }
    byGateway.values().forEach(this::checkFurther);
  }

  /** Returns when a query must be answered: a gateway that is halted then, once it runs again. */
  private long latestAnswer(QueryRecord q) {
    long limit = q.arrival.at() + q.arrival.of().deadline() + SLACK;
    long runsAt = haltedGateways.recoveredAt(q.gateway, limit);
    return runsAt == limit || runsAt == Long.MAX_VALUE ? runsAt : runsAt + SLACK;
  }

  /**
   * Checks the number of further attempts of one gateway within each window against the number of
   * queries that it accepted in the window; reports at most one violation for the gateway.
   */
  private void checkFurther(List<QueryRecord> of) {
    List<Long> further =
        of.stream().flatMap(q -> q.attempts.stream().skip(1)).map(t -> t.at).sorted().toList();
    List<Long> accepted = of.stream().map(q -> q.acceptedAt).sorted().toList();
    int firstFurther = 0;
    int firstQuery = 0;
    int queriesSeen = 0;
    for (int i = 0; i < further.size(); i++) {
      long at = further.get(i);
      long since = at - GatewayConfigurations.LOOK_BACK;
      while (further.get(firstFurther) < since + SLACK) {
        firstFurther++;
      }
      while (firstQuery < accepted.size() && accepted.get(firstQuery) < since - SLACK) {
        firstQuery++;
      }
      while (queriesSeen < accepted.size() && accepted.get(queriesSeen) <= at) {
        queriesSeen++;
      }
      double limit =
          GatewayConfigurations.MIN_EXTRA_ATTEMPTS
              + GatewayConfigurations.EXTRA_ATTEMPTS_PER_QUERY * (queriesSeen - firstQuery);
      if (i - firstFurther + 1 > limit) {
        recordViolation("further attempts", of.get(0).gateway);
        return;
      }
    }
  }

  /**
   * Returns all figures. {@code service} is the worth of the queries that were served within their
   * goal time, as a fraction of the worth of all queries that arrived since {@code settled} and of
   * all queries that could be sent to no gateway. Rules are checked for earlier queries as well.
   *
   * @param now the time of the call, in nanoseconds; queries whose time limit is later may be open
   * @param settled the arrival time from which queries count, in nanoseconds
   */
  public Map<String, Object> figures(long now, long settled) {
    checkAtEnd(now);
    List<QueryRecord> all =
        queries.values().stream().filter(q -> q.arrival.at() >= settled).toList();
    Map<String, Object> f = new java.util.LinkedHashMap<>();
    double worth =
        all.stream().mapToDouble(QueryRecord::worth).sum()
            + unplaced.stream().mapToDouble(a -> a.of().worth()).sum();
    f.put("asked", all.size() + unplaced.size());
    f.put(
        "service",
        share(
            all.stream().filter(QueryRecord::inTime).mapToDouble(QueryRecord::worth).sum(), worth));
    for (int k = 0; k < Workload.KINDS.size(); k++) {
      int kind = k;
      List<QueryRecord> some = all.stream().filter(q -> q.arrival.kind() == kind).toList();
      f.put(
          "service_" + Workload.KINDS.get(k).name(),
          share(
              some.stream().filter(QueryRecord::inTime).count(),
              some.size() + unplaced.stream().filter(a -> a.kind() == kind).count()));
    }
    f.put("service_worst_5s", worstInterval(all));
    f.put("service_by_5s", serviceByInterval(all));
    f.put(
        "late",
        share(
            count(all, Answer.SERVED) - all.stream().filter(QueryRecord::inTime).count(),
            all.size()));
    f.put("refused", share(count(all, Answer.REFUSED), all.size()));
    f.put("failed", share(count(all, Answer.FAILED), all.size()));
    f.put("unplaced", unplaced.size());
    f.put("orphans", all.stream().filter(q -> q.gatewayKilled).count());
    f.put(
        "unanswered",
        broken.getOrDefault("unanswered", 0)
            + broken.getOrDefault("connection ended without an answer", 0));
    f.put("attempts", share(all.stream().mapToInt(q -> q.attempts.size()).sum(), all.size()));
    f.put("refused_while_idle", share(refusedWhileIdle, queries.size()));
    f.put("fell_over", overloadFailures);
    f.put(
        "cold_most",
        Math.round(
                1e3
                    * model.engines.values().stream()
                        .mapToDouble(EngineModel::peakColdLoad)
                        .max()
                        .orElse(0))
            / 1e3);
    f.put("budget_excess_ms_max", maxExcessBudgetMs);
    f.put("budgets_too_long", excessiveBudgets);
    f.put("rules_broken", broken.values().stream().mapToInt(i -> i).sum());
    if (!broken.isEmpty()) {
      f.put("broken", new TreeMap<>(broken));
      f.put("broken_first", List.copyOf(brokenFirst));
    }
    f.putAll(loadImbalance.figures());
    return f;
  }

  /**
   * Returns the outcomes by class of the queries that arrived at least this long after the start.
   */
  List<Row> rows(long after) {
    List<Row> rows = new ArrayList<>();
    for (int k = 0; k < Workload.KINDS.size(); k++) {
      int kind = k;
      List<QueryRecord> of =
          queries.values().stream()
              .filter(q -> q.arrival.kind() == kind && q.arrival.at() >= start + after)
              .toList();
      Histogram times = new Histogram(MAX_LATENCY_MICROS, 3);
      of.stream()
          .filter(q -> q.answer == Answer.SERVED)
          .forEach(
              q ->
                  times.recordValue(
                      Math.max(
                          0,
                          Math.min(MAX_LATENCY_MICROS, (q.answeredAt - q.arrival.at()) / 1_000))));
      long inTime = of.stream().filter(QueryRecord::inTime).count();
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

  private static long count(List<QueryRecord> of, Answer answer) {
    return of.stream().filter(q -> q.answer == answer).count();
  }

  static double share(double part, double whole) {
    return whole == 0 ? 0 : Math.round(1e5 * part / whole) / 1e5;
  }

  private List<Double> serviceByInterval(List<QueryRecord> all) {
    TreeMap<Long, double[]> by = new TreeMap<>();
    for (QueryRecord q : all) {
      double[] sums =
          by.computeIfAbsent(
              (q.arrival.at() - start) / (5 * ClusterPlan.SECOND), k -> new double[2]);
      sums[0] += q.inTime() ? q.worth() : 0;
      sums[1] += q.worth();
    }
    for (Arrival a : unplaced) {
      by.computeIfAbsent((a.at() - start) / (5 * ClusterPlan.SECOND), k -> new double[2])[1] +=
          a.of().worth();
    }
    return by.values().stream().map(s -> share(s[0], s[1])).toList();
  }

  private double worstInterval(List<QueryRecord> all) {
    return serviceByInterval(all).stream().mapToDouble(d -> d).min().orElse(0);
  }
}
