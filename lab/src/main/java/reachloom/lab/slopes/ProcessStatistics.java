package reachloom.lab.slopes;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counters of a process from {@code /proc}: processor seconds of the whole process (user and
 * system, with a resolution of a hundredth of a second) and of each thread, resident memory in MB,
 * open file descriptors. {@code at} is the time of the reading in nanoseconds.
 */
record ProcessStatistics(
    long at, double cpu, Map<String, ThreadTimes> threads, double rssMb, int descriptors) {
  /** The name of the thread that serves the sockets in gateways that figures are compared with. */
  private static final String FORMER_PROCESSOR = "HalfClosing";

  private static final double TICKS_PER_SECOND = 100; // on every Linux
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double KILOBYTES_PER_MEGABYTE = 1_024;
  private static final int USER_TICKS = 11; // index of the field after the name in parentheses
  private static final int SYSTEM_TICKS = 12;

  static final List<String> KINDS =
      List.of("loop", "sockets", "accept_connect", "compiler", "collector", "other");

  /**
   * The kind of one thread, the seconds that it ran, and the seconds that it was runnable but
   * waited for a processor.
   */
  record ThreadTimes(String kind, double seconds, double waited) {
    private static final ThreadTimes ZERO = new ThreadTimes("", 0, 0);
  }

  /** Reads the counters of a process. */
  static ProcessStatistics of(long pid) throws IOException {
    Path process = Path.of("/proc", Long.toString(pid));
    String[] stat = fieldsAfterName(Files.readString(process.resolve("stat")));
    Map<String, ThreadTimes> threads = new LinkedHashMap<>();
    try (DirectoryStream<Path> tasks = Files.newDirectoryStream(process.resolve("task"))) {
      for (Path task : tasks) {
        try {
          String text = Files.readString(task.resolve("stat"));
          String[] counts = Files.readString(task.resolve("schedstat")).split(" ");
          threads.put(
              task.getFileName().toString(),
              new ThreadTimes(
                  kind(text.substring(text.indexOf('(') + 1, text.lastIndexOf(')'))),
                  Double.parseDouble(counts[0]) / NANOS_PER_SECOND,
                  Double.parseDouble(counts[1]) / NANOS_PER_SECOND));
        } catch (IOException e) {
          // the thread ended after the folder was listed
        }
      }
    }
    String rss =
        Files.readAllLines(process.resolve("status")).stream()
            .filter(l -> l.startsWith("VmRSS:"))
            .findFirst()
            .orElse("0")
            .replaceAll("\\D+", "");
    int descriptors = 0;
    try (DirectoryStream<Path> open = Files.newDirectoryStream(process.resolve("fd"))) {
      for (Path d : open) {
        descriptors++;
      }
    }
    return new ProcessStatistics(
        System.nanoTime(),
        (Double.parseDouble(stat[USER_TICKS]) + Double.parseDouble(stat[SYSTEM_TICKS]))
            / TICKS_PER_SECOND,
        threads,
        Double.parseDouble(rss) / KILOBYTES_PER_MEGABYTE,
        descriptors);
  }

  private static String[] fieldsAfterName(String stat) {
    return stat.substring(stat.lastIndexOf(')') + 2).split(" ");
  }

  /**
   * Returns the kind of a thread by its name. The event loop runs in the virtual machine's main
   * thread, which the system lists under the program's name; MINA names its threads after the
   * classes of processor, acceptor and connector.
   */
  private static String kind(String name) {
    if (name.equals("java")) {
      return "loop";
    }
    if (name.startsWith("SocketProcessor") || name.startsWith(FORMER_PROCESSOR)) {
      return "sockets";
    }
    if (name.startsWith("BoundedAccept") || name.startsWith("NioSocket")) {
      return "accept_connect";
    }
    return name.startsWith("C1") || name.startsWith("C2")
        ? "compiler"
        : name.startsWith("VM Thread") ? "collector" : "other";
  }

  /** Returns the processor seconds per second between an earlier reading and this one. */
  double cores(ProcessStatistics before) {
    return (cpu - before.cpu) / seconds(before);
  }

  /**
   * Returns the processor seconds per second of one kind of thread, with a finer resolution than a
   * hundredth of a second. Threads that have ended are not included.
   */
  double cores(ProcessStatistics before, String kind) {
    return threads.entrySet().stream()
            .filter(t -> t.getValue().kind.equals(kind))
            .mapToDouble(t -> t.getValue().seconds - before.times(t.getKey()).seconds)
            .sum()
        / seconds(before);
  }

  /**
   * Returns the seconds per second that one kind of thread waited for a processor because the
   * machine was busy.
   */
  double waited(ProcessStatistics before, String kind) {
    return threads.entrySet().stream()
            .filter(t -> t.getValue().kind.equals(kind))
            .mapToDouble(t -> t.getValue().waited - before.times(t.getKey()).waited)
            .sum()
        / seconds(before);
  }

  /**
   * Returns the same as {@link #cores(ProcessStatistics)} at the finer resolution, for the threads
   * that had not ended by this reading.
   */
  double fineCores(ProcessStatistics before) {
    return KINDS.stream().mapToDouble(k -> cores(before, k)).sum();
  }

  private ThreadTimes times(String thread) {
    return threads.getOrDefault(thread, ThreadTimes.ZERO);
  }

  /** Returns the seconds between an earlier reading and this one. */
  double seconds(ProcessStatistics before) {
    return (at - before.at) / NANOS_PER_SECOND;
  }
}
