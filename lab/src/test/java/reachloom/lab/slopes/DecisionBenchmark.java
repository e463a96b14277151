package reachloom.lab.slopes;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Threads;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of a call of the scheduler, by the number of engines. Times are sampled,
 * because the median of samples is not affected by other load on the machine. {@link #BATCH} calls
 * form one sample, so that the setup of each call is not counted.
 */
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(
    value = 3,
    jvmArgsAppend = {"-Xmx512m", "-XX:+UseSerialGC"})
@Warmup(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 4, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Threads(1)
public class DecisionBenchmark {
  private static final int BATCH = 16;

  /** A gateway whose latest batch of queries has not been served yet. */
  @State(Scope.Thread)
  public static class Gateway {
    @Param({"60", "150", "300", "630"})
    public int engines;

    @Param({"false", "true"})
    public boolean reports;

    SchedulerBenchmarkHarness harness;
    final String[] ids = new String[BATCH];

    @Setup(Level.Trial)
    public void start() {
      harness = new SchedulerBenchmarkHarness(engines, reports);
    }

    void arriveBatch() {
      for (int i = 0; i < BATCH; i++) {
        harness.step();
        ids[i] = harness.arrive();
        harness.answerHealthChecks();
      }
    }

    /** Fails the benchmark if queries were refused, because its figures would be invalid. */
    @TearDown(Level.Trial)
    public void checkNoRefusals() {
      if (harness.refused > 0) {
        throw new IllegalStateException(harness.refused + " queries were refused");
      }
    }

    void endBatch() {
      for (int i = 0; i < BATCH && ids[i] != null; i++) {
        harness.end(ids[i]);
      }
    }
  }

  /** Serves the previous batch of queries before each batch of arrivals. */
  @State(Scope.Thread)
  public static class Served extends Gateway {
    @Setup(Level.Invocation)
    public void serve() {
      endBatch();
      for (int i = 0; i < BATCH; i++) {
        harness.step();
      }
      harness.tick();
      harness.answerHealthChecks();
    }
  }

  /** Lets a batch of queries arrive before each batch of ends. */
  @State(Scope.Thread)
  public static class Arrived extends Gateway {
    @Setup(Level.Invocation)
    public void arrive() {
      arriveBatch();
    }
  }

  /** Lets a batch of queries arrive once per iteration; they stay outstanding. */
  @State(Scope.Thread)
  public static class Outstanding extends Gateway {
    @Setup(Level.Iteration)
    public void arrive() {
      endBatch();
      arriveBatch();
    }
  }

  /** A query from arrival to end, with its share of ticks and probes at 724 queries a second. */
  @Benchmark
  public void query(Gateway g) {
    g.harness.query();
  }

  @Benchmark
  @OperationsPerInvocation(BATCH)
  public void arrive(Served g) {
    for (int i = 0; i < BATCH; i++) {
      g.ids[i] = g.harness.arrive();
    }
  }

  @Benchmark
  @OperationsPerInvocation(BATCH)
  public void end(Arrived g) {
    for (int i = 0; i < BATCH; i++) {
      g.harness.end(g.ids[i]);
    }
  }

  @Benchmark
  @OperationsPerInvocation(BATCH)
  public void note(Outstanding g) {
    for (int i = 0; i < BATCH; i++) {
      g.harness.reportProgress(g.ids[i]);
    }
  }

  /** The scheduler's tick, which is due 40 times a second. */
  @Benchmark
  public void wake(Gateway g) {
    g.harness.now += 25_000_000;
    g.harness.tick();
    g.harness.answerHealthChecks();
  }

  /** A load report of one engine. */
  @Benchmark
  public void probed(Gateway g) {
    g.harness.reportLoad();
  }
}
