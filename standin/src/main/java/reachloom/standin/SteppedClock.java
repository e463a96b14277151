package reachloom.standin;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * The wall clock of processes that a test starts, to be stepped while they run. A small library is compiled
 * and preloaded into them; their monotonic clock, and all other processes, are left alone.
 */
public final class SteppedClock {
  private static final String SOURCE = "stepped-clock.c";

  private final Path library;
  private final Path offset;

  /**
   * Compiles the library into a folder.
   *
   * @throws IOException if there is no C compiler, or it fails
   */
  public SteppedClock(Path folder) throws IOException, InterruptedException {
    Path source = folder.resolve(SOURCE);
    library = folder.resolve("stepped-clock.so");
    offset = folder.resolve("stepped-clock.offset");
    try (InputStream text = SteppedClock.class.getResourceAsStream(SOURCE)) {
      Files.copy(text, source, StandardCopyOption.REPLACE_EXISTING);
    }
    step(Duration.ZERO);
    Path output = folder.resolve("stepped-clock.log");
    List<String> command =
        List.of("cc", "-O2", "-shared", "-fPIC", "-o", library.toString(), source.toString());
    Process compiler = new ProcessBuilder(command)
        .redirectErrorStream(true).redirectOutput(output.toFile()).start();
    if (compiler.waitFor() != 0) {
      throw new IOException("cc: " + Files.readString(output));
    }
  }

  /** What has to be added to the environment of a process whose wall clock this is. */
  public Map<String, String> environment() {
    return Map.of("LD_PRELOAD", library.toString(), "STEPPED_CLOCK_FILE", offset.toString());
  }

  /** From now on the wall clock is off by that much from this machine's. */
  public void step(Duration total) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES).order(ByteOrder.nativeOrder());
    bytes.putLong(0, total.toNanos());
    try (FileChannel file = FileChannel.open(offset, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      file.write(bytes, 0); // in one piece, and in place: the file is mapped
    }
  }
}
