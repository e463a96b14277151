package reachloom.lab.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/**
 * Measures the thread's processor time for signing and for verifying, in microseconds. Both take so
 * long that on a busy machine wall-clock time would mostly show the load of other processes.
 */
public final class SignatureCost {
  private static final int REPETITIONS = 1_200;
  private static final int WARM_UP = 400;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private SignatureCost() {}

  public static void main(String[] args) throws Exception {
    DatagramBenchmark benchmark = new DatagramBenchmark();
    DatagramBenchmark.Sender sender = new DatagramBenchmark.Sender();
    sender.news = 10;
    sender.make();
    try {
      double[] sign = new double[REPETITIONS];
      double[] verify = new double[REPETITIONS];
      for (int i = 0; i < REPETITIONS; i++) {
        long start = THREADS.getCurrentThreadCpuTime();
        benchmark.sign(sender);
        long between = THREADS.getCurrentThreadCpuTime();
        if (!benchmark.verify(sender)) {
          throw new IllegalStateException("the signature of the datagram is invalid");
        }
        sign[i] = (between - start) / 1e3;
        verify[i] = (THREADS.getCurrentThreadCpuTime() - between) / 1e3;
      }
      print("sign", sign);
      print("verify", verify);
    } finally {
      sender.remove();
    }
    System.out.printf(
        "load average %.1f%n", ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
  }

  private static void print(String what, double[] times) {
    double[] sorted = Arrays.copyOfRange(times, WARM_UP, REPETITIONS);
    Arrays.sort(sorted);
    System.out.printf(
        "%s: first %.0f us, least %.0f, median %.0f, mean %.0f%n",
        what,
        times[0],
        sorted[0],
        sorted[sorted.length / 2],
        Arrays.stream(sorted).average().orElse(0));
  }
}
