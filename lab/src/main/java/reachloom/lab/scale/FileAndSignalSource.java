package reachloom.lab.scale;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.function.IntFunction;

/**
 * Distributes configuration as files: replaces the file of each gateway on its machine and sends
 * SIGHUP there. A reload by a process of the program is detected in its log, which has one line for
 * each reload.
 */
final class FileAndSignalSource implements ConfigurationSource {
  private static final String RELOAD_LOG_TEXT = "the configuration is read again";

  /** Access to the gateways. */
  interface Gateways {
    /** Returns the numbers of the gateways that run now. */
    List<Integer> running();

    /** Sends SIGHUP to all gateways that are processes of the program. */
    void hangUp();

    /** Makes a synthetic gateway reload its configuration. */
    void reload(int gateway, long change);
  }

  private final Path folder;
  private final int real;
  private final IntFunction<String> configuration;
  private final Gateways gateways;
  private final RolloutTracker rollout;
  private final long[] readBytes;

  FileAndSignalSource(
      Path folder,
      int real,
      IntFunction<String> configuration,
      Gateways gateways,
      RolloutTracker rollout) {
    this.folder = folder;
    this.real = real;
    this.configuration = configuration;
    this.gateways = gateways;
    this.rollout = rollout;
    readBytes = new long[real];
  }

  @Override
  public void issue(long number) throws IOException {
    long at = MachineTime.millis();
    List<Integer> targets = gateways.running();
    for (int g : targets) {
      write(g);
    }
    rollout.issued(number, at, targets);
    gateways.hangUp();
    for (int g : targets) {
      if (g >= real) {
        gateways.reload(g, number);
      }
    }
  }

  /** Replaces the configuration file of a gateway by the current configuration. */
  Path write(int gateway) throws IOException {
    Path file = folder.resolve("g" + gateway + ".json");
    Path temporary =
        Files.writeString(folder.resolve("g" + gateway + ".new"), configuration.apply(gateway));
    return Files.move(
        temporary, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  /**
   * Reads new log lines, up to 1 MiB of each log; calls back with the gateway's number once for
   * each reload found.
   */
  void readLogs(IntConsumer onReload) {
    for (int g = 0; g < real; g++) {
      Path log = folder.resolve("g" + g + ".log");
      try (RandomAccessFile in = new RandomAccessFile(log.toFile(), "r")) {
        long size = in.length();
        if (size <= readBytes[g]) {
          continue;
        }
        byte[] chunk = new byte[(int) Math.min(1 << 20, size - readBytes[g])];
        in.seek(readBytes[g]);
        in.readFully(chunk);
        int end = chunk.length;
        while (end > 0 && chunk[end - 1] != '\n') {
          end--;
        }
        readBytes[g] += end;
        String text = new String(chunk, 0, end, StandardCharsets.UTF_8);
        for (int i = text.indexOf(RELOAD_LOG_TEXT);
            i >= 0;
            i = text.indexOf(RELOAD_LOG_TEXT, i + 1)) {
          onReload.accept(g);
        }
      } catch (IOException e) {
        // the gateway has not written its log yet
      }
    }
  }
}
