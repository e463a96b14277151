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
 * What a call of the decisions takes, by the number of engines. Sampled, since the median of
 * samples is not moved by what else the machine does; calls are taken {@link #BATCH} together, so
 * that setting the stage for each of them does not count.
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

  /** A gateway whose latest batch of queries is not yet served. */
  @State(Scope.Thread)
  public static class Gateway {
    @Param({"60", "150", "300", "630"})
    public int engines;

    @Param({"false", "true"})
    public boolean reports;

    SchedulerBenchmarkHarness desk;
    final String[] ids = new String[BATCH];

    @Setup(Level.Trial)
    public void start() {
      desk = new SchedulerBenchmarkHarness(engines, reports);
    }

    void arrivals() {
      for (int i = 0; i < BATCH; i++) {
        desk.step();
        ids[i] = desk.arrive();
        desk.answerProbes();
      }
    }

    /** A benchmark of a gateway that refuses is worth nothing. */
    @TearDown(Level.Trial)
    public void look() {
      if (desk.refused > 0) {
        throw new IllegalStateException(desk.refused + " queries were refused");
      }
    }

    void ends() {
      for (int i = 0; i < BATCH && ids[i] != null; i++) {
        desk.end(ids[i]);
      }
    }
  }

  /** Before each batch of arrivals those of the one before are served. */
  @State(Scope.Thread)
  public static class Served extends Gateway {
    @Setup(Level.Invocation)
    public void serve() {
      ends();
      for (int i = 0; i < BATCH; i++) {
        desk.step();
      }
      desk.wake();
      desk.answerProbes();
    }
  }

  /** Before each batch of ends, as many queries came. */
  @State(Scope.Thread)
  public static class Asked extends Gateway {
    @Setup(Level.Invocation)
    public void ask() {
      arrivals();
    }
  }

  /** Once, as many queries came, and stay. */
  @State(Scope.Thread)
  public static class Out extends Gateway {
    @Setup(Level.Iteration)
    public void ask() {
      ends();
      arrivals();
    }
  }

  /**
   * A query's whole life, with its part of ticks and probes, as one gateway has 724 of them in a
   * second.
   */
  @Benchmark
  public void query(Gateway g) {
    g.desk.query();
  }

  @Benchmark
  @OperationsPerInvocation(BATCH)
  public void arrive(Served g) {
    for (int i = 0; i < BATCH; i++) {
      g.ids[i] = g.desk.arrive();
    }
  }

  @Benchmark
  @OperationsPerInvocation(BATCH)
  public void end(Asked g) {
    for (int i = 0; i < BATCH; i++) {
      g.desk.end(g.ids[i]);
    }
  }

  @Benchmark
  @OperationsPerInvocation(BATCH)
  public void note(Out g) {
    for (int i = 0; i < BATCH; i++) {
      g.desk.note(g.ids[i]);
    }
  }

  /** The tick that comes 40 times a second. */
  @Benchmark
  public void wake(Gateway g) {
    g.desk.now += 25_000_000;
    g.desk.wake();
    g.desk.answerProbes();
  }

  /** The report of one engine. */
  @Benchmark
  public void probed(Gateway g) {
    g.desk.report();
  }
}
