package reachloom.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One engine: queries share its cores (processor sharing, each on threads of its own), memory that
 * is short slows all of them, sessions are limited, a process that has just started does part of
 * its work only and falls over under too much, and load reports are samples of some time ago. Work
 * is in core-seconds.
 */
public final class EngineModel {
  private static final double SECOND = 1e9; // nanoseconds

  /** Between looks at a speed that changes with time. */
  private static final long WARMING_STEP = 50_000_000;

  private static final double CAPACITY =
      0.85; // share of busy cores that the cold rule calls capacity

  /** What an engine is made of; times in nanoseconds, {@code meanWork} in core-seconds. */
  public record Spec(
      int cores,
      double speed,
      int sessions,
      double memoryMb,
      double coldFrom,
      long coldTime,
      double fallMultiple,
      long fallTime,
      long reportPeriod,
      long reportDelay,
      double meanWork,
      long notePeriod) {}

  /**
   * A load report as engines word it: shares of cores and of memory in use, and queries in line.
   */
  public record Load(long at, double util, double queue, double memory) {}

  /** What engines do when they are not well. */
  public enum Condition {
    HEALTHY,
    HANGING,
    FAILING,
    DOWN
  }

  /**
   * Hears of one query; at most one of the ends comes, and none from an engine that hangs or has
   * died.
   */
  public interface QueryListener {
    void served(double work, double memoryMb);

    void error();

    void progress(double share);

    /** The engine's process died under it. */
    void died();
  }

  private final class Job {
    private final String id;
    private final double work;
    private final int threads;
    private final double memoryMb;
    private final QueryListener asker;
    private final double from;
    private boolean over;

    Job(String id, double work, int threads, double memoryMb, QueryListener asker) {
      this.id = id;
      this.work = work;
      this.threads = threads;
      this.memoryMb = memoryMb;
      this.asker = asker;
      from = shared;
    }

    double endsAt() {
      return from + work / threads;
    }
  }

  private record Sent(long at, double work) {}

  public final int id;
  public final Spec spec;
  private final TaskScheduler time;
  private final SplittableRandom random;
  private final Map<String, Job> running = new LinkedHashMap<>();

  /** Jobs by the shared work at which each ends. */
  private final TreeMap<Double, List<Job>> ends = new TreeMap<>();

  private final ArrayDeque<Sent> lately = new ArrayDeque<>();
  private final ArrayDeque<Load> samples = new ArrayDeque<>();
  private double sentLately;

  /** Core-seconds that one thread has had since the engine was made. */
  private double shared;

  private long sharedAt;
  private long planned;
  private int threads;
  private double memory;
  private double busy;
  private double busyAtSample;
  private long sampledAt;
  private Condition condition = Condition.HEALTHY;
  private double errorShare;
  private double slowness = 1;
  private long startedAt;
  private boolean cold;
  private int overloadFailures;
  private double peakColdLoad;
  private long idleCoreSince;
  private Runnable fallen = () -> {};

  /** A warm engine that runs. */
  public EngineModel(int id, Spec spec, TaskScheduler time, long seed) {
    this.id = id;
    this.spec = spec;
    this.time = time;
    random = new SplittableRandom(seed);
    sharedAt = time.now();
    sampledAt = sharedAt;
    idleCoreSince = sharedAt;
    // Samples of different engines do not fall together.
    time.at(sharedAt + (long) (random.nextDouble() * spec.reportPeriod), this::sample);
  }

  /** What is to be done when it falls over. */
  public void onOverload(Runnable then) {
    fallen = then;
  }

  // ---- What is asked of it ----

  /** Takes a query; false where it is full, or gone: the query never runs. */
  public boolean submit(
      String query, double work, int width, double memoryMb, QueryListener asker) {
    if (condition == Condition.DOWN
        || running.size() >= spec.sessions
        || running.containsKey(query)) {
      return false;
    }
    advance();
    noteColdWork(work);
    if (condition == Condition.DOWN) {
      return false; // it was the last straw
    }
    if (condition == Condition.FAILING && random.nextDouble() < errorShare) {
      time.at(time.now() + (long) (0.002 * SECOND), asker::error); // quickly, as failing engines do
      return true;
    }
    Job j = new Job(query, work, width, memoryMb, asker);
    running.put(query, j);
    ends.computeIfAbsent(j.endsAt(), k -> new ArrayList<>(1)).add(j);
    threads += width;
    memory += memoryMb;
    noteRoom();
    plan();
    if (spec.notePeriod > 0) {
      time.at(time.now() + spec.notePeriod, () -> tellProgress(j));
    }
    return true;
  }

  /** A query is given up; its work stops. */
  public void cancel(String query) {
    Job j = running.get(query);
    if (j != null) {
      advance();
      remove(j);
      plan();
    }
  }

  /** The latest report that can be known by now. */
  public Load load() {
    Load known = null;
    for (Load l : samples) {
      if (l.at + spec.reportDelay <= time.now()) {
        known = l;
      }
    }
    return known == null ? new Load(time.now(), 0, 0, 0) : known;
  }

  // ---- Troubles ----

  /** From now on it hangs, errs in that share of queries, or is well again. */
  public void setCondition(Condition next, double share) {
    advance();
    condition = next;
    errorShare = share;
    if (next == Condition.DOWN) {
      List<Job> open = List.copyOf(running.values());
      open.forEach(this::remove);
      open.forEach(j -> j.asker.died());
    }
    noteRoom();
    plan();
  }

  /** From now on each thread does its work so many times slower. */
  public void setSlowdown(double times) {
    advance();
    slowness = times;
    plan();
  }

  /** Its process starts anew, cold and with nothing running. */
  public void restart() {
    setCondition(Condition.DOWN, 0);
    startedAt = time.now();
    cold = true;
    sentLately = 0;
    lately.clear();
    setCondition(Condition.HEALTHY, 0);
    warm();
  }

  private void warm() {
    advance();
    cold = cold && time.now() < startedAt + spec.coldTime;
    if (cold) {
      time.at(time.now() + WARMING_STEP, this::warm);
    }
    plan();
  }

  private void noteColdWork(double work) {
    if (!cold) {
      return;
    }
    long now = time.now();
    lately.addLast(new Sent(now, work));
    sentLately += work;
    while (lately.peekFirst().at < now - spec.fallTime) {
      sentLately -= lately.removeFirst().work;
    }
    double allowed =
        spec.fallMultiple
            * warmth()
            * CAPACITY
            * spec.cores
            * (spec.fallTime / SECOND)
            / spec.meanWork;
    double most = allowed + 3 * Math.sqrt(allowed) + 3; // chance alone does not fell it
    peakColdLoad = Math.max(peakColdLoad, sentLately / spec.meanWork / most);
    if (sentLately / spec.meanWork > most) {
      overloadFailures++;
      setCondition(Condition.DOWN, 0);
      fallen.run();
    }
  }

  // ---- What is known of it from outside ----

  public Condition condition() {
    return condition;
  }

  public int overloadFailures() {
    return overloadFailures;
  }

  /** The most that it was sent while cold, as a share of what makes it fall. */
  public double peakColdLoad() {
    return peakColdLoad;
  }

  public int running() {
    return running.size();
  }

  public int threads() {
    return threads;
  }

  public boolean cold() {
    return cold;
  }

  /** The share of its full speed that it does now. */
  public double warmth() {
    return !cold
        ? 1
        : spec.coldFrom
            + (1 - spec.coldFrom) * Math.min(1, (time.now() - startedAt) / (double) spec.coldTime);
  }

  /** Core-seconds that were in use since it was made. */
  public double busy() {
    advance();
    return busy;
  }

  /**
   * Since when it has had a core free for a query, without a break; the largest time while it has
   * none.
   */
  public long idleCoreSince() {
    return idleCoreSince;
  }

  // ---- Sharing ----

  private double rate() {
    if (condition == Condition.HANGING || condition == Condition.DOWN || threads == 0) {
      return 0;
    }
    double paging = spec.memoryMb > 0 && memory > spec.memoryMb ? spec.memoryMb / memory : 1;
    return Math.min(1, (double) spec.cores / threads) * spec.speed * warmth() * paging / slowness;
  }

  private void advance() {
    long now = time.now();
    double passed = (now - sharedAt) / SECOND;
    sharedAt = now;
    shared += passed * rate();
    busy += passed * (condition == Condition.DOWN ? 0 : Math.min(threads, spec.cores));
  }

  private void plan() {
    long mine = ++planned;
    double rate = rate();
    if (ends.isEmpty() || rate <= 0) {
      return;
    }
    double left = Math.max(0, ends.firstKey() - shared);
    time.at(
        time.now() + (long) Math.ceil(left / rate * SECOND),
        () -> {
          if (mine == planned) {
            advance();
            finish();
            plan();
          }
        });
  }

  private void finish() {
    double reached = shared + 1e-9; // less than a nanosecond of work is rounding
    while (!ends.isEmpty() && ends.firstKey() <= reached) {
      for (Job j : List.copyOf(ends.firstEntry().getValue())) {
        remove(j);
        j.asker.served(j.work, j.memoryMb);
      }
    }
  }

  private void remove(Job j) {
    j.over = true;
    running.remove(j.id);
    List<Job> same = ends.get(j.endsAt());
    same.remove(j);
    if (same.isEmpty()) {
      ends.remove(j.endsAt());
    }
    threads -= j.threads;
    memory -= j.memoryMb;
    noteRoom();
  }

  private void noteRoom() {
    boolean room = condition == Condition.HEALTHY && !cold && threads < spec.cores;
    idleCoreSince = !room ? Long.MAX_VALUE : Math.min(idleCoreSince, time.now());
  }

  private void tellProgress(Job j) {
    if (!j.over && condition != Condition.HANGING) {
      advance();
      j.asker.progress(Math.min(1, (shared - j.from) / (j.work / j.threads)));
    }
    if (!j.over) {
      time.at(time.now() + spec.notePeriod, () -> tellProgress(j));
    }
  }

  private void sample() {
    advance();
    long now = time.now();
    double span = Math.max(1, now - sampledAt) / SECOND;
    double util = Math.min(1, (busy - busyAtSample) / span / spec.cores);
    busyAtSample = busy;
    sampledAt = now;
    samples.addLast(new Load(now, util, 0, spec.memoryMb > 0 ? memory / spec.memoryMb : 0));
    while (samples.size() > 1
        && samples.peekFirst().at < now - spec.reportDelay - 2 * spec.reportPeriod) {
      samples.removeFirst();
    }
    time.at(now + spec.reportPeriod, this::sample);
  }
}
