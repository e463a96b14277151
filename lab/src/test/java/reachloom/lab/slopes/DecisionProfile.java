package reachloom.lab.slopes;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import jdk.jfr.Recording;
import jdk.jfr.consumer.RecordedEvent;
import jdk.jfr.consumer.RecordedFrame;
import jdk.jfr.consumer.RecordingFile;

/**
 * Profiles the scheduler by source line while it handles queries, with samples of the JDK Flight
 * Recorder. Arguments: number of engines, whether engines report, number of queries.
 */
public final class DecisionProfile {
  private static final double PERCENT = 100;
  private static final double MIN_PERCENT = 1; // of the samples, for a line to be printed

  private DecisionProfile() {}

  public static void main(String[] args) throws Exception {
    SchedulerBenchmarkHarness harness =
        new SchedulerBenchmarkHarness(Integer.parseInt(args[0]), Boolean.parseBoolean(args[1]));
    int queries = Integer.parseInt(args[2]);
    Path file = Files.createTempFile("reachloom-profile", ".jfr");
    try (Recording recording = new Recording()) {
      recording.enable("jdk.ExecutionSample").withPeriod(Duration.ofMillis(10));
      recording.start();
      for (int i = 0; i < queries; i++) {
        harness.query();
      }
      recording.stop();
      recording.dump(file);
    }
    Map<String, Integer> lines = new LinkedHashMap<>();
    int samples = 0;
    for (RecordedEvent event : RecordingFile.readAllEvents(file)) {
      List<RecordedFrame> frames =
          event.getStackTrace() == null ? List.of() : event.getStackTrace().getFrames();
      // The innermost line of the scheduler and its caller; lambdas are skipped because their
      // generated names say little.
      List<String> schedulerLines =
          frames.stream()
              .filter(
                  f ->
                      f.getMethod().getType().getName().startsWith("reachloom.scheduler.")
                          && !f.getMethod().getName().startsWith("lambda"))
              .map(f -> f.getMethod().getName() + ":" + f.getLineNumber())
              .limit(2)
              .toList();
      if (!schedulerLines.isEmpty()) {
        samples++;
        lines.merge(String.join(" < ", schedulerLines), 1, Integer::sum);
      }
    }
    Files.delete(file);
    int all = samples;
    System.out.printf("engines %s, reports %s, %d samples%n", args[0], args[1], all);
    lines.entrySet().stream()
        .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
        .filter(e -> PERCENT * e.getValue() / all >= MIN_PERCENT)
        .forEach(e -> System.out.printf("%5.1f%%  %s%n", PERCENT * e.getValue() / all, e.getKey()));
  }
}
