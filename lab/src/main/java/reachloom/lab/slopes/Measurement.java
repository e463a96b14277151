package reachloom.lab.slopes;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import reachloom.lab.slopes.PacedClients.Gaps;

/** Measures a gateway at several sizes in one run; collects the figures and the fitted lines. */
final class Measurement {
  /** Client connections of the runs in which the number of connections is not the size. */
  private static final int CONNECTIONS = 64;

  private static final int PLANNED_GATEWAYS = 580;
  private static final int PLANNED_ENGINES = 630;

  /** After this time each outstanding statement has been answered or has failed. */
  private static final int DRAIN_TIMEOUT_S = 4;

  private static final double DRAIN_POLL_S = 0.05;

  /** The share of a core at which one thread is saturated. */
  private static final double SATURATED_CORES = 0.9;

  /**
   * Answers lag, or rejections count, above this share of the statements sent and above
   * MIN_LAG_PER_S.
   */
  private static final double LAG_SHARE = 0.05;

  private static final double MIN_LAG_PER_S = 5;
  private static final double GAP_S = 5; // between statements of one connection
  private static final double CONNECT_SETTLE_S = 1;

  /** After this time connections are closed at the rate at which clients connect. */
  private static final double MAX_SETTLE_S = 14;

  private static final long RELEASE_TIMEOUT_MS = 20_000;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MILLIS_PER_SECOND = 1e3;
  private static final double KILOBYTES_PER_MEGABYTE = 1_024;

  /** The parameters of a measurement. */
  record Parameters(
      Path folder,
      Path jar,
      int heapMb,
      int warmS,
      int warmRate,
      int settleS,
      int seconds,
      int rounds,
      int[] rates,
      int[] engines,
      int[] connections,
      List<String> classes,
      List<String> patterns,
      int believed,
      double probePrice,
      OptionalLong idleTimeoutMs,
      long seed) {}

  private final Parameters parameters;
  private final Map<String, Object> figures = new LinkedHashMap<>();
  private int defects;

  Measurement(Parameters parameters) {
    this.parameters = parameters;
  }

  /** Returns the figures of all measurements so far, by name. */
  Map<String, Object> figures() {
    figures.put("rig_defects", defects);
    return figures;
  }

  private GatewayRig rig(int engines) throws IOException, InterruptedException {
    int believed = parameters.believed > 0 ? parameters.believed : proportionalGateways(engines);
    Path folder = Files.createDirectories(parameters.folder.resolve("engines-" + engines));
    return new GatewayRig(
        new GatewayRig.RigOptions(
            folder,
            parameters.jar,
            parameters.heapMb,
            engines,
            believed,
            parameters.probePrice,
            parameters.idleTimeoutMs,
            parameters.seed));
  }

  /** Returns the number of gateways in proportion to the engines, as at the planned size. */
  private static int proportionalGateways(int engines) {
    return Math.max(1, engines * PLANNED_GATEWAYS / PLANNED_ENGINES);
  }

  /**
   * Sends statements of each class for the warm-up time in total, so that the code that they run
   * through is compiled.
   */
  private void warm(GatewayRig rig) throws InterruptedException {
    rig.clients().open(CONNECTIONS);
    for (String c : SlopesCommand.CLASSES) {
      rig.clients().pace(parameters.warmRate, c, Gaps.EVEN);
      pause((double) parameters.warmS / SlopesCommand.CLASSES.size());
    }
    rig.clients().pace(0, "quick", Gaps.EVEN);
    drain(rig);
  }

  private static void pause(double seconds) throws InterruptedException {
    Thread.sleep((long) (seconds * 1_000));
  }

  /**
   * Waits until no statement is outstanding, at most DRAIN_TIMEOUT_S, then one second more for the
   * gateway's remaining work.
   */
  private static void drain(GatewayRig rig) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(DRAIN_TIMEOUT_S);
    while (rig.clients().outstanding() > 0 && System.nanoTime() < until) {
      pause(DRAIN_POLL_S);
    }
    pause(1);
  }

  private Map<String, Object> row(String name, GatewayRig rig, double seconds)
      throws IOException, InterruptedException {
    Map<String, Object> row = rig.measure(seconds);
    double answered = number(row, "answered_per_s");
    if (answered > 0) {
      row.put(
          "us_per_statement",
          GatewayRig.rounded(number(row, "cores") / answered * MICROS_PER_SECOND, 1));
    }
    row.put("void", starved(row));
    figures.put(name, row);
    System.err.println(name + " " + row);
    return row;
  }

  private static double number(Map<String, Object> row, String key) {
    return ((Number) row.get(key)).doubleValue();
  }

  /**
   * Returns whether the gateway was at its limit: more statements were rejected than the lag limit
   * allows, or the event loop or the socket threads used more than SATURATED_CORES, where waits for
   * a processor count as use if answers lagged.
   */
  static boolean saturated(Map<String, Object> row) {
    return number(row, "cores_loop") > SATURATED_CORES
        || number(row, "cores_sockets") > SATURATED_CORES
        || rejectedPerSecond(row) > maxLagPerSecond(row)
        || lags(row)
            && (number(row, "cores_loop") + number(row, "loop_waited") > SATURATED_CORES
                || number(row, "cores_sockets") + number(row, "sockets_waited") > SATURATED_CORES);
  }

  /** Returns the statements a second that were refused, failed or not sent. */
  private static double rejectedPerSecond(Map<String, Object> row) {
    return (number(row, "refused") + number(row, "failed") + number(row, "unsent"))
        / number(row, "seconds");
  }

  private static double maxLagPerSecond(Map<String, Object> row) {
    return Math.max(MIN_LAG_PER_S, LAG_SHARE * number(row, "sent_per_s"));
  }

  private static boolean lags(Map<String, Object> row) {
    return number(row, "sent_per_s") - number(row, "answered_per_s") - rejectedPerSecond(row)
        > maxLagPerSecond(row);
  }

  /**
   * Returns whether answers lagged although the gateway was not saturated: the rig did not get
   * enough processor time from the machine.
   */
  static boolean starved(Map<String, Object> row) {
    return !saturated(row) && lags(row);
  }

  /**
   * Fits a line to one figure of the rows and adds it to the figures. Rows in which the rig was
   * starved are reported as void and excluded.
   */
  private void fit(
      String name, String key, List<Map<String, Object>> rows, int[] sizes, double scale) {
    List<Fit.Point> points = new ArrayList<>();
    for (int i = 0; i < rows.size(); i++) {
      Map<String, Object> row = rows.get(i);
      if (!starved(row)) {
        points.add(new Fit.Point(sizes[i], number(row, key) * scale, saturated(row)));
      }
    }
    if (points.stream().mapToDouble(Fit.Point::size).distinct().count() < 2) {
      System.err.println(name + ": no line fitted, because fewer than two sizes have usable rows");
      return;
    }
    Fit fit = Fit.of(points);
    Map<String, Object> summary = new LinkedHashMap<>();
    summary.put("a", fit.a());
    summary.put("b", fit.b());
    summary.put("residual", GatewayRig.rounded(fit.residual(), 4));
    summary.put("knee", fit.knee());
    summary.put("sizes", fit.sizes());
    figures.put(name, summary);
    System.err.println(name + ": " + fit);
  }

  /**
   * Returns for each size the row with the median of a figure over the rounds in which the rig was
   * not starved, or the row with the least figure if it was starved in all of them.
   */
  private static List<Map<String, Object>> medianRows(
      List<List<Map<String, Object>>> rounds, String key) {
    List<Map<String, Object>> medians = new ArrayList<>();
    for (int size = 0; size < rounds.get(0).size(); size++) {
      int index = size;
      List<Map<String, Object>> all =
          rounds.stream()
              .map(r -> r.get(index))
              .sorted(Comparator.comparingDouble(r -> number(r, key)))
              .toList();
      List<Map<String, Object>> usable = all.stream().filter(r -> !starved(r)).toList();
      medians.add(usable.isEmpty() ? all.get(0) : usable.get((usable.size() - 1) / 2));
    }
    return medians;
  }

  /** Measures the processor time of a statement, by class, at several rates. */
  void statements() throws IOException, InterruptedException {
    try (GatewayRig rig = rig(parameters.engines[0])) {
      warm(rig);
      row("without statements", rig, parameters.seconds);
      Map<String, List<List<Map<String, Object>>>> rows = new LinkedHashMap<>();
      // Measured in rounds, so that a short load peak on the machine does not affect only one size.
      for (int round = 1; round <= parameters.rounds; round++) {
        for (String c : parameters.classes) {
          List<Map<String, Object>> ofClass = new ArrayList<>();
          for (int rate : parameters.rates) {
            rig.clients().pace(rate, c, Gaps.EVEN);
            pause(parameters.settleS);
            ofClass.add(
                row(
                    c + " " + rate + (parameters.rounds > 1 ? " round " + round : ""),
                    rig,
                    parameters.seconds));
          }
          rig.clients().pace(0, c, Gaps.EVEN);
          drain(rig);
          rows.computeIfAbsent(c, k -> new ArrayList<>()).add(ofClass);
        }
      }
      rows.forEach(
          (c, rounds) -> {
            for (String key : List.of("cores", "cores_loop", "cores_sockets")) {
              fit("fit " + c + ", " + key, key, medianRows(rounds, key), parameters.rates, 1);
            }
          });
      defects += rig.defects();
    }
  }

  /** Measures processor time at several numbers of engines, without statements and at one rate. */
  void engines() throws IOException, InterruptedException {
    List<Map<String, Object>> idle = new ArrayList<>();
    List<Map<String, Object>> busy = new ArrayList<>();
    for (int engines : parameters.engines) {
      figures.put(
          engines + " engines, kept", SubsetAnalysis.of(proportionalGateways(engines), engines));
      try (GatewayRig rig = rig(engines)) {
        warm(rig);
        idle.add(row(engines + " engines, no statements", rig, parameters.seconds));
        rig.clients().pace(parameters.rates[0], parameters.classes.get(0), Gaps.EVEN);
        pause(parameters.settleS);
        String name = engines + " engines, " + parameters.rates[0] + " a second";
        busy.add(row(name, rig, parameters.seconds));
        defects += rig.defects();
      }
    }
    fit("fit no statements, cores", "cores", idle, parameters.engines, 1);
    fit("fit " + parameters.rates[0] + " a second, cores", "cores", busy, parameters.engines, 1);
    fit("fit resident MB", "rss_mb", busy, parameters.engines, 1);
  }

  /**
   * Measures memory and processor time of client connections, idle and with a statement on each
   * connection every 5 s.
   */
  void connections() throws IOException, InterruptedException {
    try (GatewayRig rig = rig(parameters.engines[0])) {
      warm(rig);
      rig.clients().closeAll();
      int base = awaitRelease(rig, 0);
      Map<String, List<Map<String, Object>>> rows = new LinkedHashMap<>();
      figures.put("live heap without connections", GatewayRig.rounded(rig.liveHeapMb(), 3));
      row("without connections", rig, parameters.seconds);
      for (int size : parameters.connections) {
        for (String pattern : parameters.patterns) {
          int open = rig.clients().open(size);
          if (!pattern.equals("idle")) {
            rig.clients()
                .pace(
                    size / GAP_S,
                    parameters.classes.get(0),
                    pattern.equals("even") ? Gaps.EVEN : Gaps.RANDOM);
          }
          pause(pattern.equals("random") ? randomSettleSeconds() : CONNECT_SETTLE_S);
          Map<String, Object> row = row(size + " " + pattern, rig, parameters.seconds);
          row.put("connections", open);
          row.put("live_heap_mb", GatewayRig.rounded(rig.liveHeapMb(), 3));
          rows.computeIfAbsent(pattern, p -> new ArrayList<>()).add(row);
          rig.clients().closeAll();
          awaitRelease(rig, base);
        }
      }
      rows.forEach(
          (pattern, ofPattern) -> {
            fit("fit " + pattern + ", cores", "cores", ofPattern, parameters.connections, 1);
            fit(
                "fit " + pattern + ", resident KB",
                "rss_mb",
                ofPattern,
                parameters.connections,
                KILOBYTES_PER_MEGABYTE);
            fit(
                "fit " + pattern + ", live heap KB",
                "live_heap_mb",
                ofPattern,
                parameters.connections,
                KILOBYTES_PER_MEGABYTE);
            fit(
                "fit " + pattern + ", descriptors",
                "descriptors",
                ofPattern,
                parameters.connections,
                1);
          });
      defects += rig.defects();
    }
  }

  /**
   * Returns the seconds after which the first gaps are over and connections that exceed the idle
   * timeout have been closed.
   */
  private double randomSettleSeconds() {
    return parameters.idleTimeoutMs.isEmpty()
        ? MAX_SETTLE_S
        : Math.min(MAX_SETTLE_S, GAP_S + parameters.idleTimeoutMs.getAsLong() / MILLIS_PER_SECOND);
  }

  /**
   * Waits until the gateway has released its client connections, at most RELEASE_TIMEOUT_MS;
   * returns its number of open file descriptors.
   */
  private static int awaitRelease(GatewayRig rig, int base)
      throws IOException, InterruptedException {
    long until = System.nanoTime() + RELEASE_TIMEOUT_MS * 1_000_000;
    int last = Integer.MAX_VALUE;
    int now = rig.statistics().descriptors();
    while ((now > base + CONNECTIONS || now < last) && System.nanoTime() < until) {
      pause(1);
      last = now;
      now = rig.statistics().descriptors();
    }
    return now;
  }

  /** Measures the processor time of a connect with one readiness check, at several rates. */
  void connects() throws IOException, InterruptedException {
    try (GatewayRig rig = rig(parameters.engines[0])) {
      warm(rig);
      rig.clients().closeAll();
      List<Map<String, Object>> rows = new ArrayList<>();
      for (int rate : parameters.rates) {
        rig.clients().paceConnects(rate);
        pause(parameters.settleS);
        Map<String, Object> row = row(rate + " connects", rig, parameters.seconds);
        row.put(
            "us_per_connect",
            GatewayRig.rounded(
                number(row, "cores") / number(row, "connects_per_s") * MICROS_PER_SECOND, 1));
        rows.add(row);
        rig.clients().closeAll();
      }
      fit("fit connects, cores", "cores", rows, parameters.rates, 1);
      defects += rig.defects();
    }
  }
}
