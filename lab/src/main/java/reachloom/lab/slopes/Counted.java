package reachloom.lab.slopes;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What the system has counted of a process: processor seconds of all of it (user and system, in hundredths)
 * and of each kind of thread, resident memory, descriptors.
 */
record Counted(long at, double cpu, Map<String, Double> threads, double rssMb, int descriptors) {
  private static final double TICKS = 100; // a second, on every Linux
  private static final double SECOND = 1e9;
  private static final int USER = 11; // fields behind the name in parentheses
  private static final int SYSTEM = 12;

  static Counted of(long pid) throws IOException {
    Path process = Path.of("/proc", Long.toString(pid));
    String[] stat = behindName(Files.readString(process.resolve("stat")));
    Map<String, Double> threads = new LinkedHashMap<>();
    int place = 0;
    try (DirectoryStream<Path> tasks = Files.newDirectoryStream(process.resolve("task"))) {
      for (Path task : tasks) {
        try {
          String text = Files.readString(task.resolve("stat"));
          String name = text.substring(text.indexOf('(') + 1, text.lastIndexOf(')'));
          String ran = Files.readString(task.resolve("schedstat")).split(" ")[0];
          threads.merge(kind(name), Double.parseDouble(ran) / SECOND, Double::sum);
        } catch (NoSuchFileException e) {
          // the thread has just ended
        }
      }
    }
    String rss = Files.readAllLines(process.resolve("status")).stream().filter(l -> l.startsWith("VmRSS:"))
        .findFirst().orElse("0").replaceAll("\\D+", "");
    int descriptors = 0;
    try (DirectoryStream<Path> open = Files.newDirectoryStream(process.resolve("fd"))) {
      for (Path d : open) {
        descriptors++;
      }
    }
    return new Counted(System.nanoTime(),
        (Double.parseDouble(stat[USER]) + Double.parseDouble(stat[SYSTEM])) / TICKS, threads,
        Double.parseDouble(rss) / 1024, descriptors);
  }

  private static String[] behindName(String stat) {
    return stat.substring(stat.lastIndexOf(')') + 2).split(" ");
  }

  /**
   * The loop is the virtual machine's main thread, which the system calls by the program's name; MINA names
   * its threads after the classes of processor, acceptor and connector.
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
    return name.startsWith("C1") || name.startsWith("C2") ? "compiler" : name.startsWith("VM Thread")
        ? "collector" : "other";
  }

  /** Processor seconds a second between an earlier count and this one. */
  double cores(Counted before) {
    return (cpu - before.cpu) / seconds(before);
  }

  /** The same of one kind of thread. */
  double cores(Counted before, String kind) {
    return (threads.getOrDefault(kind, 0.0) - before.threads.getOrDefault(kind, 0.0)) / seconds(before);
  }

  /** The same of all threads, counted finer than in hundredths; one that ended in between is not in. */
  double fineCores(Counted before) {
    return threads.keySet().stream().mapToDouble(k -> cores(before, k)).sum();
  }

  double seconds(Counted before) {
    return (at - before.at) / SECOND;
  }
}
