package reachloom.lab.slopes;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import reachloom.lab.slopes.Fit.Point;

/**
 * Measures the allocated bytes and the processor time of a call of the scheduler, by the number of
 * engines. The virtual machine counts both for the thread, call by call; the sizes are measured in
 * turns. Allocation is the same each time. Time is the thread's processor time, which other load on
 * the machine affects only through the processor caches.
 */
public final class DecisionAllocation {
  private static final int[] SIZES = {60, 150, 300, 630};
  private static final int BATCH = 16;
  private static final int WARM_UP_BATCHES = 1_500;
  private static final int ROUNDS = 8;
  private static final int BATCHES_PER_ROUND = 150;
  private static final String[] CALLS = {"arrive", "note", "end", "wake", "probed"};
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private static final class Size {
    private final SchedulerBenchmarkHarness harness;
    private final String[] ids = new String[BATCH];
    private final long[] bytes = new long[CALLS.length];
    private final long[] cpu = new long[CALLS.length];
    private final long[] calls = new long[CALLS.length];

    Size(int engines, boolean reports) {
      harness = new SchedulerBenchmarkHarness(engines, reports);
    }

    private void count(int call, int times, Runnable work) {
      long cpuBefore = THREADS.getCurrentThreadCpuTime();
      long before = THREADS.getCurrentThreadAllocatedBytes();
      work.run();
      bytes[call] += THREADS.getCurrentThreadAllocatedBytes() - before;
      cpu[call] += THREADS.getCurrentThreadCpuTime() - cpuBefore;
      calls[call] += times;
    }

    void batch() {
      count(
          0,
          BATCH,
          () -> {
            for (int i = 0; i < BATCH; i++) {
              ids[i] = harness.arrive();
            }
          });
      harness.answerHealthChecks();
      count(
          1,
          BATCH,
          () -> {
            for (int i = 0; i < BATCH; i++) {
              harness.reportProgress(ids[i]);
            }
          });
      count(
          2,
          BATCH,
          () -> {
            for (int i = 0; i < BATCH; i++) {
              harness.end(ids[i]);
            }
          });
      for (int i = 0; i < BATCH; i++) {
        harness.step();
      }
      count(3, 1, harness::tick);
      harness.answerHealthChecks();
      count(
          4,
          BATCH,
          () -> {
            for (int i = 0; i < BATCH; i++) {
              harness.reportLoad();
            }
          });
    }
  }

  private DecisionAllocation() {}

  public static void main(String[] args) {
    for (boolean reports : new boolean[] {false, true}) {
      List<Size> sizes = new ArrayList<>();
      for (int engines : SIZES) {
        Size s = new Size(engines, reports);
        for (int i = 0; i < WARM_UP_BATCHES; i++) {
          s.batch();
        }
        java.util.Arrays.fill(s.bytes, 0);
        java.util.Arrays.fill(s.cpu, 0);
        java.util.Arrays.fill(s.calls, 0);
        sizes.add(s);
      }
      for (int r = 0; r < ROUNDS; r++) {
        for (Size s : sizes) {
          for (int i = 0; i < BATCHES_PER_ROUND; i++) {
            s.batch();
          }
        }
      }
      for (int c = 0; c < CALLS.length; c++) {
        List<Point> bytes = new ArrayList<>();
        List<Point> cpu = new ArrayList<>();
        for (int i = 0; i < SIZES.length; i++) {
          Size s = sizes.get(i);
          bytes.add(new Point(SIZES[i], (double) s.bytes[c] / s.calls[c]));
          cpu.add(new Point(SIZES[i], s.cpu[c] / 1e3 / s.calls[c]));
        }
        print(reports, CALLS[c] + " bytes", bytes);
        print(reports, CALLS[c] + " cpu us", cpu);
      }
      for (int i = 0; i < SIZES.length; i++) {
        SchedulerBenchmarkHarness harness = sizes.get(i).harness;
        System.out.printf(
            "reports=%b engines=%d probes asked %d answered %d refused %d%n",
            reports, SIZES[i], harness.probesRequested, harness.probesAnswered, harness.refused);
      }
    }
    System.out.printf(
        "load average %.1f%n", ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
  }

  private static void print(boolean reports, String what, List<Point> points) {
    Fit fit = Fit.of(points);
    System.out.printf("reports=%b %-14s", reports, what);
    points.forEach(p -> System.out.printf(" %6.0f: %10.2f", p.size(), p.value()));
    System.out.printf(
        "  fit %.3f + %.5f n, residual %.3f, R2 %.4f, knee %.0f%n",
        fit.a(), fit.b(), fit.rms(), fit.r2(), Fit.bend(points));
  }
}
