package reachloom.lab.cluster;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reachloom.standin.model.EngineModel;
import reachloom.standin.model.EngineModel.Condition;

/** Measures how evenly the load is spread over the engines, in windows of 100 ms. */
final class LoadImbalance {
  private static final long WINDOW_NANOS = 100 * ClusterPlan.MILLISECOND;
  private static final int WINDOWS_PER_SECOND = 10;

  /**
   * A herd is a window in which an engine receives more than three times its share, and more than
   * random variation brings about in a run of some thousand windows.
   */
  private static final double HERD_FACTOR = 3;

  private static final double CHANCE_LIMIT = 5;
  private static final double PERCENTILE = 0.99;
  private static final double NEARLY_FULL = 0.8;

  private static final class EngineSamples {
    private double busy;
    private int sent;
    private int sentBefore;
    private int idleWindows;
    private int unusedWindows;
    private double usedInSecond;
    private int windows;
  }

  private final ClusterModel model;
  private final Map<Integer, EngineSamples> samples = new HashMap<>();
  private final List<Double> imbalance = new ArrayList<>();
  private final List<Double> variation = new ArrayList<>();
  private final List<Double> use = new ArrayList<>();
  private long herds;
  private long idle;
  private long pressureSamples;
  private int longestIdle;
  private int longestUnused;
  private int refused;
  private int windows;

  LoadImbalance(ClusterModel model, long start) {
    this.model = model;
  }

  void watch(long until) {
    model.time.at(
        model.time.now() + WINDOW_NANOS,
        () -> {
          sample();
          if (model.time.now() < until) {
            watch(until);
          }
        });
  }

  void sent(int engine) {
    samples.computeIfAbsent(engine, e -> new EngineSamples()).sent++;
  }

  void refused() {
    refused++;
  }

  /**
   * Returns whether a healthy, warm, listed engine has had a free core for 100 ms and has enough
   * free cores now.
   */
  boolean hadIdleEngine(long now, int threads) {
    return model.engines.values().stream()
        .anyMatch(
            e ->
                e.idleCoreSince() <= now - WINDOW_NANOS
                    && e.spec.cores() - e.threads() >= threads
                    && listed(e));
  }

  private boolean listed(EngineModel e) {
    return model.list.get(e.id).state() == ClusterModel.READY;
  }

  private void sample() {
    windows++;
    List<EngineModel> healthy =
        model.engines.values().stream()
            .filter(e -> e.condition() == Condition.HEALTHY && !e.cold() && listed(e))
            .toList();
    double[] used = new double[healthy.size()];
    boolean underPressure = refused > 0;
    double cores = healthy.stream().mapToInt(e -> e.spec.cores()).sum();
    double allSent =
        healthy.stream().mapToInt(e -> samplesOf(e).sent - samplesOf(e).sentBefore).sum();
    for (int i = 0; i < used.length; i++) {
      EngineModel e = healthy.get(i);
      EngineSamples s = samplesOf(e);
      double busy = e.busy();
      used[i] = (busy - s.busy) * 1e9 / WINDOW_NANOS / e.spec.cores();
      s.busy = busy;
      s.usedInSecond += used[i];
      s.windows++;
      double share = allSent * e.spec.cores() / cores;
      double received = s.sent - s.sentBefore;
      if (windows > 1
          && received > HERD_FACTOR * share
          && received > share + CHANCE_LIMIT * Math.sqrt(share) + CHANCE_LIMIT) {
        herds++;
      }
      underPressure |= e.threads() > e.spec.cores();
    }
    double mean = Arrays.stream(used).average().orElse(0);
    boolean full = mean > NEARLY_FULL;
    for (int i = 0; i < used.length; i++) {
      EngineSamples s = samplesOf(healthy.get(i));
      boolean idleNow = used[i] == 0;
      s.idleWindows = idleNow && full ? s.idleWindows + 1 : 0;
      longestIdle = Math.max(longestIdle, s.idleWindows);
      idle += idleNow && underPressure ? 1 : 0;
      pressureSamples += underPressure ? 1 : 0;
    }
    if (mean > 0.05) {
      imbalance.add(Arrays.stream(used).max().orElse(0) / mean);
    }
    use.add(mean);
    checkUnused();
    samples.values().forEach(s -> s.sentBefore = s.sent);
    refused = 0;
    if (windows % WINDOWS_PER_SECOND == 0) {
      recordVariation(healthy);
    }
  }

  /**
   * Counts the consecutive windows in which a healthy, listed engine, warm or cold, is sent nothing
   * while others are, and keeps the longest such period.
   */
  private void checkUnused() {
    boolean anySent = samples.values().stream().anyMatch(s -> s.sent > s.sentBefore);
    for (EngineModel e : model.engines.values()) {
      EngineSamples s = samplesOf(e);
      boolean unused =
          e.condition() == Condition.HEALTHY && listed(e) && s.sent == s.sentBefore && anySent;
      s.unusedWindows = unused ? s.unusedWindows + 1 : 0;
      longestUnused = Math.max(longestUnused, s.unusedWindows);
    }
  }

  private EngineSamples samplesOf(EngineModel e) {
    return samples.computeIfAbsent(e.id, k -> new EngineSamples());
  }

  /** Records the coefficient of variation of the engines' utilization over the last second. */
  private void recordVariation(List<EngineModel> healthy) {
    double[] used =
        healthy.stream()
            .map(this::samplesOf)
            .filter(s -> s.windows == WINDOWS_PER_SECOND)
            .mapToDouble(s -> s.usedInSecond / s.windows)
            .toArray();
    double mean = Arrays.stream(used).average().orElse(0);
    double variance = Arrays.stream(used).map(u -> (u - mean) * (u - mean)).average().orElse(0);
    if (mean > 0.05) {
      variation.add(Math.sqrt(variance) / mean);
    }
    samples
        .values()
        .forEach(
            s -> {
              s.usedInSecond = 0;
              s.windows = 0;
            });
  }

  Map<String, Object> figures() {
    Map<String, Object> f = new LinkedHashMap<>();
    f.put("use", mean(use));
    f.put("imbalance", Math.round(1e3 * percentile(imbalance)) / 1e3);
    f.put("cv", mean(variation));
    f.put("herds", herds);
    f.put("idle_share", HistoryChecker.share(idle, pressureSamples));
    f.put("idle_longest_s", longestIdle / (double) WINDOWS_PER_SECOND);
    f.put("unused_longest_s", longestUnused / (double) WINDOWS_PER_SECOND);
    return f;
  }

  private static double mean(List<Double> of) {
    return Math.round(1e4 * of.stream().mapToDouble(d -> d).average().orElse(0)) / 1e4;
  }

  private static double percentile(List<Double> of) {
    List<Double> sorted = of.stream().sorted().toList();
    return sorted.isEmpty()
        ? 0
        : sorted.get((int) Math.min(sorted.size() - 1, PERCENTILE * sorted.size()));
  }
}
