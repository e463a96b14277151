package reachloom.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Resource usage of processes and of the machine, read from {@code /proc}. */
final class Usage {
  private static final long TICK_NANOS = 10_000_000; // unit of processor time in /proc

  /** Indexes of the processor times among the words after the process name in parentheses. */
  private static final int USER_TIME_INDEX = 11;

  private static final int SYSTEM_TIME_INDEX = 12;

  private Usage() {}

  /** Returns the processor time of a process so far in nanoseconds, or 0 if it has ended. */
  static long cpuNanos(long pid) {
    try {
      String line = Files.readString(Path.of("/proc/" + pid + "/stat"));
      String[] words = line.substring(line.lastIndexOf(')') + 2).split(" ");
      return (Long.parseLong(words[USER_TIME_INDEX]) + Long.parseLong(words[SYSTEM_TIME_INDEX]))
          * TICK_NANOS;
    } catch (IOException e) {
      return 0;
    }
  }

  /** Returns the resident memory of a process in megabytes, or 0 if it has ended. */
  static double residentMegabytes(long pid) {
    try {
      List<String> lines = Files.readAllLines(Path.of("/proc/" + pid + "/status"));
      String line = lines.stream().filter(l -> l.startsWith("VmRSS:")).findFirst().orElse("0");
      return Double.parseDouble(line.replaceAll("\\D+", "")) / 1024;
    } catch (IOException e) {
      return 0;
    }
  }

  /** Returns the machine's idle time (with I/O wait) and total processor time so far, in ticks. */
  static long[] machineCpuTicks() {
    try {
      String[] words = Files.readAllLines(Path.of("/proc/stat")).get(0).trim().split("\\s+");
      long total = 0;
      for (int i = 1; i < Math.min(words.length, 9); i++) {
        total += Long.parseLong(words[i]);
      }
      return new long[] {Long.parseLong(words[4]) + Long.parseLong(words[5]), total};
    } catch (IOException e) {
      return new long[] {0, 0};
    }
  }
}
