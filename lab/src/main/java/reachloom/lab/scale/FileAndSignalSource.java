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
 * What happens today: the file of each gateway is replaced on its machine and SIGHUP is sent there.
 * Whether a process of the program has read it is seen in its log, which has a line for each time.
 */
final class FileAndSignalSource implements ConfigurationSource {
  private static final String READ_AGAIN = "the configuration is read again";

  /** Reaches the gateways. */
  interface Gateways {
    /** Those that run now. */
    List<Integer> running();

    /** SIGHUP to all that are processes of the program. */
    void hangUp();

    /** The same for a hollow one. */
    void reload(int gateway, long change);
  }

  private final Path folder;
  private final int real;
  private final IntFunction<String> configuration;
  private final Gateways gateways;
  private final RolloutTracker inForce;
  private final long[] read;

  FileAndSignalSource(
      Path folder,
      int real,
      IntFunction<String> configuration,
      Gateways gateways,
      RolloutTracker inForce) {
    this.folder = folder;
    this.real = real;
    this.configuration = configuration;
    this.gateways = gateways;
    this.inForce = inForce;
    read = new long[real];
  }

  @Override
  public void issue(long number) throws IOException {
    long at = MachineTime.millis();
    List<Integer> to = gateways.running();
    for (int g : to) {
      write(g);
    }
    inForce.issued(number, at, to);
    gateways.hangUp();
    for (int g : to) {
      if (g >= real) {
        gateways.reload(g, number);
      }
    }
  }

  /** Replaces the configuration file of a gateway by one of now. */
  Path write(int gateway) throws IOException {
    Path file = folder.resolve("g" + gateway + ".json");
    Path fresh =
        Files.writeString(folder.resolve("g" + gateway + ".new"), configuration.apply(gateway));
    return Files.move(
        fresh, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  /**
   * Looks for new lines in the logs; the hearer is told of each gateway that has read its file once
   * more.
   */
  void look(IntConsumer heard) {
    for (int g = 0; g < real; g++) {
      Path log = folder.resolve("g" + g + ".log");
      try (RandomAccessFile in = new RandomAccessFile(log.toFile(), "r")) {
        long size = in.length();
        if (size <= read[g]) {
          continue;
        }
        byte[] more = new byte[(int) Math.min(1 << 20, size - read[g])];
        in.seek(read[g]);
        in.readFully(more);
        int end = more.length;
        while (end > 0 && more[end - 1] != '\n') {
          end--;
        }
        read[g] += end;
        String text = new String(more, 0, end, StandardCharsets.UTF_8);
        for (int i = text.indexOf(READ_AGAIN); i >= 0; i = text.indexOf(READ_AGAIN, i + 1)) {
          heard.accept(g);
        }
      } catch (IOException e) {
        // it has not written yet
      }
    }
  }
}
