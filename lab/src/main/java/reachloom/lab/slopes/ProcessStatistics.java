package reachloom.lab.slopes;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the system has counted of a process: processor seconds of all of it (user and system, in
 * hundredths) and of each thread, resident memory, descriptors.
 */
record ProcessStatistics(
    long at, double cpu, Map<String, Ran> threads, double rssMb, int descriptors) {
  private static final double TICKS = 100; // a second, on every Linux
  private static final double SECOND = 1e9;
  private static final double KILOBYTES = 1_024; // a megabyte
  private static final int USER = 11; // fields behind the name in parentheses
  private static final int SYSTEM = 12;

  static final List<String> KINDS =
      List.of("loop", "sockets", "accept_connect", "compiler", "collector", "other");

  /**
   * Of one thread: what kind it is, how long it ran, and how long it waited for a processor to run
   * on.
   */
  record Ran(String kind, double seconds, double waited) {
    private static final Ran NOT_YET = new Ran("", 0, 0);
  }

  static ProcessStatistics of(long pid) throws IOException {
    Path process = Path.of("/proc", Long.toString(pid));
    String[] stat = behindName(Files.readString(process.resolve("stat")));
    Map<String, Ran> threads = new LinkedHashMap<>();
    try (DirectoryStream<Path> tasks = Files.newDirectoryStream(process.resolve("task"))) {
      for (Path task : tasks) {
        try {
          String text = Files.readString(task.resolve("stat"));
          String[] counts = Files.readString(task.resolve("schedstat")).split(" ");
          threads.put(
              task.getFileName().toString(),
              new Ran(
                  kind(text.substring(text.indexOf('(') + 1, text.lastIndexOf(')'))),
                  Double.parseDouble(counts[0]) / SECOND,
                  Double.parseDouble(counts[1]) / SECOND));
        } catch (IOException e) {
          // the thread has just ended
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
        (Double.parseDouble(stat[USER]) + Double.parseDouble(stat[SYSTEM])) / TICKS,
        threads,
        Double.parseDouble(rss) / KILOBYTES,
        descriptors);
  }

  private static String[] behindName(String stat) {
    return stat.substring(stat.lastIndexOf(')') + 2).split(" ");
  }

  /**
   * The loop is the virtual machine's main thread, which the system calls by the program's name;
   * MINA names its threads after the classes of processor, acceptor and connector.
   */
  private static String kind(String name) {
    if (name.equals("java")) {
      return "loop";
    }
    if (name.startsWith("HalfClosing")) {
      return "sockets";
    }
    if (name.startsWith("BoundedAccept") || name.startsWith("NioSocket")) {
      return "accept_connect";
    }
    return name.startsWith("C1") || name.startsWith("C2")
        ? "compiler"
        : name.startsWith("VM Thread") ? "collector" : "other";
  }

  /** Processor seconds a second between an earlier count and this one. */
  double cores(ProcessStatistics before) {
    return (cpu - before.cpu) / seconds(before);
  }

  /**
   * The same of one kind of thread, counted finer than in hundredths; those that ended are not in.
   */
  double cores(ProcessStatistics before, String kind) {
    return threads.entrySet().stream()
            .filter(t -> t.getValue().kind.equals(kind))
            .mapToDouble(t -> t.getValue().seconds - before.ran(t.getKey()).seconds)
            .sum()
        / seconds(before);
  }

  /** How much of the time one kind of thread waited for a processor, since the machine was busy. */
  double waited(ProcessStatistics before, String kind) {
    return threads.entrySet().stream()
            .filter(t -> t.getValue().kind.equals(kind))
            .mapToDouble(t -> t.getValue().waited - before.ran(t.getKey()).waited)
            .sum()
        / seconds(before);
  }

  /** The same as {@link #cores(ProcessStatistics)}, of all threads that did not end in between. */
  double fineCores(ProcessStatistics before) {
    return KINDS.stream().mapToDouble(k -> cores(before, k)).sum();
  }

  private Ran ran(String thread) {
    return threads.getOrDefault(thread, Ran.NOT_YET);
  }

  double seconds(ProcessStatistics before) {
    return (at - before.at) / SECOND;
  }
}
