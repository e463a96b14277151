package reachloom.lab.cluster;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reachloom.standin.model.EngineModel;
import reachloom.standin.model.EngineModel.Condition;

/** How evenly the load lies on the engines, looked at in windows of 100 ms. */
final class LoadImbalance {
  private static final long WINDOW = 100 * ClusterPlan.MILLISECOND;
  private static final int PER_SECOND = 10;

  /** Over three times its share, and by more than chance does in a run of some thousand windows. */
  private static final double HERD = 3;

  private static final double CHANCE = 5;
  private static final double PERCENTILE = 0.99;
  private static final double NEARLY_FULL = 0.8;

  private static final class Seen {
    private double busy;
    private int sent;
    private int before;
    private int idleWindows;
    private int unusedWindows;
    private double second;
    private int windows;
  }

  private final ClusterModel model;
  private final Map<Integer, Seen> seen = new HashMap<>();
  private final List<Double> imbalance = new ArrayList<>();
  private final List<Double> variation = new ArrayList<>();
  private final List<Double> use = new ArrayList<>();
  private long herds;
  private long idle;
  private long watched;
  private int longestIdle;
  private int longestUnused;
  private int refused;
  private int windows;

  LoadImbalance(ClusterModel model, long start) {
    this.model = model;
  }

  void watch(long until) {
    model.time.at(
        model.time.now() + WINDOW,
        () -> {
          look();
          if (model.time.now() < until) {
            watch(until);
          }
        });
  }

  void sent(int engine) {
    seen.computeIfAbsent(engine, e -> new Seen()).sent++;
  }

  void refused() {
    refused++;
  }

  /** Whether some warm engine that is well has had room for 100 ms. */
  boolean somebodyHadRoom(long now, int threads) {
    return model.engines.values().stream()
        .anyMatch(
            e ->
                e.idleCoreSince() <= now - WINDOW
                    && e.spec.cores() - e.threads() >= threads
                    && listed(e));
  }

  private boolean listed(EngineModel e) {
    return model.list.get(e.id).state() == ClusterModel.READY;
  }

  private void look() {
    windows++;
    List<EngineModel> well =
        model.engines.values().stream()
            .filter(e -> e.condition() == Condition.HEALTHY && !e.cold() && listed(e))
            .toList();
    double[] used = new double[well.size()];
    boolean pressed = refused > 0;
    double cores = well.stream().mapToInt(e -> e.spec.cores()).sum();
    double allSent = well.stream().mapToInt(e -> of(e).sent - of(e).before).sum();
    for (int i = 0; i < used.length; i++) {
      EngineModel e = well.get(i);
      Seen s = of(e);
      double busy = e.busy();
      used[i] = (busy - s.busy) * 1e9 / WINDOW / e.spec.cores();
      s.busy = busy;
      s.second += used[i];
      s.windows++;
      double share = allSent * e.spec.cores() / cores;
      double got = s.sent - s.before;
      if (windows > 1 && got > HERD * share && got > share + CHANCE * Math.sqrt(share) + CHANCE) {
        herds++;
      }
      pressed |= e.threads() > e.spec.cores();
    }
    double mean = Arrays.stream(used).average().orElse(0);
    boolean full = mean > NEARLY_FULL;
    for (int i = 0; i < used.length; i++) {
      Seen s = of(well.get(i));
      boolean idleNow = used[i] == 0;
      s.idleWindows = idleNow && full ? s.idleWindows + 1 : 0;
      longestIdle = Math.max(longestIdle, s.idleWindows);
      idle += idleNow && pressed ? 1 : 0;
      watched += pressed ? 1 : 0;
    }
    if (mean > 0.05) {
      imbalance.add(Arrays.stream(used).max().orElse(0) / mean);
    }
    use.add(mean);
    lookForUnused();
    seen.values().forEach(s -> s.before = s.sent);
    refused = 0;
    if (windows % PER_SECOND == 0) {
      vary(well);
    }
  }

  /** Engines that are well, cold ones too, and are sent nothing while others are. */
  private void lookForUnused() {
    boolean somebody = seen.values().stream().anyMatch(s -> s.sent > s.before);
    for (EngineModel e : model.engines.values()) {
      Seen s = of(e);
      boolean unused =
          e.condition() == Condition.HEALTHY && listed(e) && s.sent == s.before && somebody;
      s.unusedWindows = unused ? s.unusedWindows + 1 : 0;
      longestUnused = Math.max(longestUnused, s.unusedWindows);
    }
  }

  private Seen of(EngineModel e) {
    return seen.computeIfAbsent(e.id, k -> new Seen());
  }

  /** The coefficient of variation of what engines did over the last second. */
  private void vary(List<EngineModel> well) {
    double[] used =
        well.stream()
            .map(this::of)
            .filter(s -> s.windows == PER_SECOND)
            .mapToDouble(s -> s.second / s.windows)
            .toArray();
    double mean = Arrays.stream(used).average().orElse(0);
    double square = Arrays.stream(used).map(u -> (u - mean) * (u - mean)).average().orElse(0);
    if (mean > 0.05) {
      variation.add(Math.sqrt(square) / mean);
    }
    seen.values()
        .forEach(
            s -> {
              s.second = 0;
              s.windows = 0;
            });
  }

  Map<String, Object> figures() {
    Map<String, Object> f = new LinkedHashMap<>();
    f.put("use", mean(use));
    f.put("imbalance", Math.round(1e3 * percentile(imbalance)) / 1e3);
    f.put("cv", mean(variation));
    f.put("herds", herds);
    f.put("idle_share", HistoryChecker.share(idle, watched));
    f.put("idle_longest_s", longestIdle / (double) PER_SECOND);
    f.put("unused_longest_s", longestUnused / (double) PER_SECOND);
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
