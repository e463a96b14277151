package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * What a case plays on: nodes, a change log and gateways, in a temporary folder. The gateways'
 * processes are ended by {@link #close}, also when the case's own process is told to end.
 */
final class Scene implements AutoCloseable {
  /** The longest time that a case may take. */
  private static final long LIMIT_MS = 110_000;

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  /** A case: returns {@link #HELD}, {@link #BROKEN} or {@link #NOT_RUN}. */
  interface Play {
    int run(Scene scene) throws IOException;
  }

  final Record record;
  final boolean trouble;
  final Path root;
  final Path folder;
  final List<Engine> engines = new ArrayList<>();
  final List<Gateway> gateways = new ArrayList<>();
  final ChangeLog changeLog;

  private Scene(Path root, Path record) throws IOException {
    this.root = root;
    this.record = new Record(record);
    trouble = !"0".equals(System.getenv("TROUBLE"));
    folder = Files.createTempDirectory("review");
    changeLog = new ChangeLog(this.record);
  }

  /** Plays a case, and ends this process with its result. */
  static void play(String[] arguments, Play play) {
    int status = NOT_RUN;
    try (Scene scene = new Scene(Path.of(arguments[0]), Path.of(arguments[1]))) {
      Runtime.getRuntime().addShutdownHook(new Thread(scene::endProcesses));
      Threads.daemon(
          "limit",
          () -> {
            Threads.sleep(LIMIT_MS);
            scene.record.say("the case took over %d s", LIMIT_MS / 1000);
            System.exit(NOT_RUN);
          });
      scene.record.line("disruption: %s", scene.trouble ? "on" : "off");
      status = play.run(scene);
      scene.record.say(
          "result: %s", status == HELD ? "held" : status == BROKEN ? "BROKEN" : "could not run");
    } catch (IOException | RuntimeException e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  void addEngines(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      engines.add(new Engine(engines.size() + 1, record));
    }
  }

  /** Starts gateways and waits until all are ready; false if one does not become ready. */
  boolean startGateways(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      Gateway gateway = new Gateway(root, folder, i, Settings.small(count), record);
      gateways.add(gateway);
      gateway.configure(changeLog.address(), engines);
      gateway.start();
    }
    return gateways.stream().allMatch(Gateway::awaitReady);
  }

  /** Copies the last lines of a gateway's log into the record. */
  void recordLog(Gateway gateway) throws IOException {
    List<String> lines = Files.exists(gateway.log) ? Files.readAllLines(gateway.log) : List.of();
    lines.subList(Math.max(0, lines.size() - 40), lines.size())
        .forEach(line -> record.line("log of %s: %s", gateway.name, line));
  }

  private void endProcesses() {
    gateways.forEach(Gateway::close);
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    for (Gateway gateway : gateways) {
      recordLog(gateway);
    }
    changeLog.close();
    for (Engine engine : engines) {
      engine.close();
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
