package reachloom.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Map;

/**
 * Makes system calls on TCP sockets fail with errors that Linux documents, in processes that a test
 * starts.
 */
public final class FaultyCalls {
  /** The failure rate of each system call, per thousand calls. */
  public record Shares(int accept, int socket, int connect, int read, int write) {
    /** Rates at which no call fails. */
    public static final Shares NONE = all(0);

    /** Returns the same rate for each system call. */
    public static Shares all(int perThousand) {
      return new Shares(perThousand, perThousand, perThousand, perThousand, perThousand);
    }
  }

  private static final int CONTROL_NUMBERS = 6;

  private final PreloadedLibrary library;
  private final int seed;

  /**
   * Compiles the preloaded library into a folder; no call fails until {@link #fail} is called.
   *
   * @throws IOException if there is no C compiler, or it fails
   */
  public FaultyCalls(Path folder, int seed) throws IOException, InterruptedException {
    this.seed = seed;
    library =
        new PreloadedLibrary(
            folder, "faulty-calls", "FAULTY_CALLS_FILE", numbers(Shares.NONE, seed));
  }

  /** Returns the variables to add to the environment of a process whose calls are to fail. */
  public Map<String, String> environment() {
    return library.environment();
  }

  /** Sets the failure rates, also for processes that already run. */
  public void fail(Shares shares) throws IOException {
    library.writeControlFile(numbers(shares, seed));
  }

  private static ByteBuffer numbers(Shares s, int seed) {
    return PreloadedLibrary.buffer(CONTROL_NUMBERS * Integer.BYTES)
        .putInt(s.accept)
        .putInt(s.socket)
        .putInt(s.connect)
        .putInt(s.read)
        .putInt(s.write)
        .putInt(seed)
        .flip();
  }
}
