package reachloom.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;

/**
 * Steps the wall clock of processes that a test starts, while they run. Their monotonic clock is
 * not changed.
 */
public final class SteppedClock {
  private final PreloadedLibrary library;

  /**
   * Compiles the preloaded library into a folder.
   *
   * @throws IOException if there is no C compiler, or it fails
   */
  public SteppedClock(Path folder) throws IOException, InterruptedException {
    library =
        new PreloadedLibrary(folder, "stepped-clock", "STEPPED_CLOCK_FILE", offset(Duration.ZERO));
  }

  /** Returns the variables to add to the environment of a process that uses this wall clock. */
  public Map<String, String> environment() {
    return library.environment();
  }

  /** Sets the total offset of the wall clock from this machine's. */
  public void step(Duration total) throws IOException {
    library.writeControlFile(offset(total));
  }

  private static ByteBuffer offset(Duration total) {
    return PreloadedLibrary.buffer(Long.BYTES).putLong(0, total.toNanos());
  }
}
