package reachloom.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A model of one engine. Queries share its cores (processor sharing, each query on its own
 * threads), a memory shortage slows all of them, sessions are limited, and load reports are samples
 * taken some time ago. A cold engine, whose process has just started, runs at a fraction of its
 * speed and crashes under overload. Work is in core-seconds.
 */
public final class EngineModel {
  private static final double SECOND = 1e9; // nanoseconds

  /** Interval at which the speed of a cold engine is updated, in nanoseconds. */
  private static final long WARMUP_STEP_NANOS = 50_000_000;

  /** Fraction of busy cores that the overload rule for cold engines counts as full capacity. */
  private static final double CAPACITY = 0.85;

  /** Parameters of an engine; times in nanoseconds, {@code meanWork} in core-seconds. */
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

  /** A load report: the fractions of cores and of memory in use, and the queue length. */
  public record Load(long at, double util, double queue, double memory) {}

  /** The condition of an engine; a failing engine answers a share of queries with an error. */
  public enum Condition {
    HEALTHY,
    HANGING,
    FAILING,
    DOWN
  }

  /**
   * Receives the events of one query. At most one of {@code served}, {@code error} and {@code died}
   * is called. An engine that hangs calls neither {@code served} nor {@code progress}, but {@code
   * died} if it goes down. None is called after {@link #cancel} has ended the query; an {@code
   * error}, which follows 2 ms after the query was accepted, cannot be cancelled.
   */
  public interface QueryListener {
    void served(double work, double memoryMb);

    void error();

    void progress(double share);

    /** Called when the engine's process dies while it runs the query. */
    void died();
  }

  private final class Job {
    private final String id;
    private final double work;
    private final int threads;
    private final double memoryMb;
    private final QueryListener listener;
    private final double startedAtWork;
    private boolean ended;

    Job(String id, double work, int threads, double memoryMb, QueryListener listener) {
      this.id = id;
      this.work = work;
      this.threads = threads;
      this.memoryMb = memoryMb;
      this.listener = listener;
      startedAtWork = workPerThread;
    }

    double endsAt() {
      return startedAtWork + work / threads;
    }
  }

  private record ReceivedWork(long at, double work) {}

  public final int id;
  public final Spec spec;
  private final TaskScheduler time;
  private final SplittableRandom random;
  private final Map<String, Job> running = new LinkedHashMap<>();

  /** Jobs by the value of {@code workPerThread} at which each ends. */
  private final TreeMap<Double, List<Job>> jobsByEnd = new TreeMap<>();

  private final ArrayDeque<ReceivedWork> recentWork = new ArrayDeque<>();
  private final ArrayDeque<Load> samples = new ArrayDeque<>();
  private double recentWorkSum;

  /** Core-seconds that each thread has received since the engine was created. */
  private double workPerThread;

  private long advancedAt;
  private long scheduledCompletions;
  private int threads;
  private double memoryMb;
  private double busyCoreSeconds;
  private double busyAtSample;
  private long sampledAt;
  private Condition condition = Condition.HEALTHY;
  private double errorShare;
  private double slowdown = 1;
  private long startedAt;
  private boolean cold;
  private int overloadFailures;
  private double peakColdLoad;
  private long idleCoreSince;
  private Runnable overloadListener = () -> {};

  /** Creates a healthy, warm engine. */
  public EngineModel(int id, Spec spec, TaskScheduler time, long seed) {
    this.id = id;
    this.spec = spec;
    this.time = time;
    random = new SplittableRandom(seed);
    advancedAt = time.now();
    sampledAt = advancedAt;
    idleCoreSince = advancedAt;
    // A random phase, so that the samples of different engines do not coincide.
    time.at(advancedAt + (long) (random.nextDouble() * spec.reportPeriod), this::sample);
  }

  /** Sets the callback for a crash of a cold engine under overload. */
  public void onOverload(Runnable listener) {
    overloadListener = listener;
  }

  // ---- Queries and load reports ----

  /**
   * Accepts a query. Returns false if the engine is full or down, runs a query of this id, or is
   * cold and crashes under this query's work; a query that is not accepted never runs.
   *
   * @param work in core-seconds
   * @param width the number of threads of the query
   */
  public boolean submit(
      String query, double work, int width, double queryMemoryMb, QueryListener listener) {
    if (condition == Condition.DOWN
        || running.size() >= spec.sessions
        || running.containsKey(query)) {
      return false;
    }
    advance();
    recordColdWork(work);
    if (condition == Condition.DOWN) {
      return false; // this query's work has crashed the cold engine
    }
    if (condition == Condition.FAILING && random.nextDouble() < errorShare) {
      // after 2 ms: failing engines respond quickly
      time.at(time.now() + (long) (0.002 * SECOND), listener::error);
      return true;
    }
    Job job = new Job(query, work, width, queryMemoryMb, listener);
    running.put(query, job);
    jobsByEnd.computeIfAbsent(job.endsAt(), k -> new ArrayList<>(1)).add(job);
    threads += width;
    memoryMb += queryMemoryMb;
    updateIdleCoreSince();
    scheduleCompletion();
    if (spec.notePeriod > 0) {
      time.at(time.now() + spec.notePeriod, () -> reportProgress(job));
    }
    return true;
  }

  /** Cancels a query if it runs; its work stops and its listener gets no further call. */
  public void cancel(String query) {
    Job job = running.get(query);
    if (job != null) {
      advance();
      remove(job);
      scheduleCompletion();
    }
  }

  /** Returns the latest load report that has passed the report delay; zeros if there is none. */
  public Load load() {
    Load known = null;
    for (Load sample : samples) {
      if (sample.at + spec.reportDelay <= time.now()) {
        known = sample;
      }
    }
    return known == null ? new Load(time.now(), 0, 0, 0) : known;
  }

  // ---- Faults ----

  /**
   * Sets the condition. A condition of {@code DOWN} ends all running queries; the error share
   * applies to {@code FAILING}.
   */
  public void setCondition(Condition next, double share) {
    advance();
    condition = next;
    errorShare = share;
    if (next == Condition.DOWN) {
      List<Job> open = List.copyOf(running.values());
      open.forEach(this::remove);
      open.forEach(j -> j.listener.died());
    }
    updateIdleCoreSince();
    scheduleCompletion();
  }

  /** Sets the factor by which each thread runs slower than at full speed; 1 is no slowdown. */
  public void setSlowdown(double factor) {
    advance();
    slowdown = factor;
    scheduleCompletion();
  }

  /** Restarts the engine's process: running queries die, and the engine is cold. */
  public void restart() {
    setCondition(Condition.DOWN, 0);
    startedAt = time.now();
    cold = true;
    recentWorkSum = 0;
    recentWork.clear();
    setCondition(Condition.HEALTHY, 0);
    updateWarmth();
  }

  private void updateWarmth() {
    advance();
    cold = cold && time.now() < startedAt + spec.coldTime;
    if (cold) {
      time.at(time.now() + WARMUP_STEP_NANOS, this::updateWarmth);
    }
    scheduleCompletion();
  }

  private void recordColdWork(double work) {
    if (!cold) {
      return;
    }
    long now = time.now();
    recentWork.addLast(new ReceivedWork(now, work));
    recentWorkSum += work;
    while (recentWork.peekFirst().at < now - spec.fallTime) {
      recentWorkSum -= recentWork.removeFirst().work;
    }
    double allowed =
        spec.fallMultiple
            * warmth()
            * CAPACITY
            * spec.cores
            * (spec.fallTime / SECOND)
            / spec.meanWork;
    // Three standard deviations and 3 on top: random variation alone does not crash the engine.
    double limit = allowed + 3 * Math.sqrt(allowed) + 3;
    peakColdLoad = Math.max(peakColdLoad, recentWorkSum / spec.meanWork / limit);
    if (recentWorkSum / spec.meanWork > limit) {
      overloadFailures++;
      setCondition(Condition.DOWN, 0);
      overloadListener.run();
    }
  }

  // ---- State ----

  public Condition condition() {
    return condition;
  }

  public int overloadFailures() {
    return overloadFailures;
  }

  /**
   * Returns the most work received while cold, as a fraction of the work that crashes the engine.
   */
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

  /** Returns the current fraction of full speed, which is less than 1 while the engine is cold. */
  public double warmth() {
    return !cold
        ? 1
        : spec.coldFrom
            + (1 - spec.coldFrom) * Math.min(1, (time.now() - startedAt) / (double) spec.coldTime);
  }

  /** Returns the core-seconds that were in use since the engine was created. */
  public double busy() {
    advance();
    return busyCoreSeconds;
  }

  /**
   * Returns the time since which the engine has been healthy and warm with a free core without a
   * break; {@code Long.MAX_VALUE} if it is not so now. After warm-up the time counts only from the
   * next start or end of a query or change of condition.
   */
  public long idleCoreSince() {
    return idleCoreSince;
  }

  // ---- Processor sharing ----

  /** Returns the speed of one thread, in core-seconds of work per second. */
  private double threadSpeed() {
    if (condition == Condition.HANGING || condition == Condition.DOWN || threads == 0) {
      return 0;
    }
    double paging = spec.memoryMb > 0 && memoryMb > spec.memoryMb ? spec.memoryMb / memoryMb : 1;
    return Math.min(1, (double) spec.cores / threads) * spec.speed * warmth() * paging / slowdown;
  }

  private void advance() {
    long now = time.now();
    double elapsed = (now - advancedAt) / SECOND;
    advancedAt = now;
    workPerThread += elapsed * threadSpeed();
    busyCoreSeconds += elapsed * (condition == Condition.DOWN ? 0 : Math.min(threads, spec.cores));
  }

  /** Schedules the end of the next job; a later call replaces the scheduled end. */
  private void scheduleCompletion() {
    long completion = ++scheduledCompletions;
    double speed = threadSpeed();
    if (jobsByEnd.isEmpty() || speed <= 0) {
      return;
    }
    double remaining = Math.max(0, jobsByEnd.firstKey() - workPerThread);
    time.at(
        time.now() + (long) Math.ceil(remaining / speed * SECOND),
        () -> {
          if (completion == scheduledCompletions) {
            advance();
            completeJobs();
            scheduleCompletion();
          }
        });
  }

  private void completeJobs() {
    double reached = workPerThread + 1e-9; // less than a nanosecond of work is rounding
    while (!jobsByEnd.isEmpty() && jobsByEnd.firstKey() <= reached) {
      for (Job job : List.copyOf(jobsByEnd.firstEntry().getValue())) {
        remove(job);
        job.listener.served(job.work, job.memoryMb);
      }
    }
  }

  private void remove(Job job) {
    job.ended = true;
    running.remove(job.id);
    List<Job> sameEnd = jobsByEnd.get(job.endsAt());
    sameEnd.remove(job);
    if (sameEnd.isEmpty()) {
      jobsByEnd.remove(job.endsAt());
    }
    threads -= job.threads;
    memoryMb -= job.memoryMb;
    updateIdleCoreSince();
  }

  private void updateIdleCoreSince() {
    boolean idleCore = condition == Condition.HEALTHY && !cold && threads < spec.cores;
    idleCoreSince = !idleCore ? Long.MAX_VALUE : Math.min(idleCoreSince, time.now());
  }

  private void reportProgress(Job job) {
    if (!job.ended && condition != Condition.HANGING) {
      advance();
      job.listener.progress(
          Math.min(1, (workPerThread - job.startedAtWork) / (job.work / job.threads)));
    }
    if (!job.ended) {
      time.at(time.now() + spec.notePeriod, () -> reportProgress(job));
    }
  }

  private void sample() {
    advance();
    long now = time.now();
    double span = Math.max(1, now - sampledAt) / SECOND;
    double util = Math.min(1, (busyCoreSeconds - busyAtSample) / span / spec.cores);
    busyAtSample = busyCoreSeconds;
    sampledAt = now;
    samples.addLast(new Load(now, util, 0, spec.memoryMb > 0 ? memoryMb / spec.memoryMb : 0));
    while (samples.size() > 1
        && samples.peekFirst().at < now - spec.reportDelay - 2 * spec.reportPeriod) {
      samples.removeFirst();
    }
    time.at(now + spec.reportPeriod, this::sample);
  }
}
