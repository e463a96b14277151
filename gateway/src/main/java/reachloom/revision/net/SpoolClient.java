package reachloom.revision.net;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import reachloom.time.WallClock;

/**
 * The operators' side of an issuer's {@link SpoolDirectory}: hands documents in, and reads what
 * became of them. Not safe for use by several threads.
 */
public final class SpoolClient {
  private static final long POLL_INTERVAL_MILLIS = 50;

  private final Path inbox;
  private final Path outbox;
  private final Path statusFile;

  /** A client of the issuer that runs with that directory, on this machine. */
  public SpoolClient(Path directory) {
    inbox = directory.resolve("inbox");
    outbox = directory.resolve("outbox");
    statusFile = directory.resolve("status.json");
  }

  /** Where documents are handed in; there once an issuer has been started. */
  public Path inbox() {
    return inbox;
  }

  /**
   * Hands a document in; the issuer sees it whole or not at all.
   *
   * @return the name by which its result is found
   */
  public String submit(byte[] document) throws IOException {
    String name = WallClock.unixMillis() + "-" + UUID.randomUUID();
    Path unseen = inbox.resolve("." + name + ".next");
    Files.write(unseen, document);
    Files.move(unseen, submitted(name), StandardCopyOption.ATOMIC_MOVE);
    return name;
  }

  /** Takes a document back; false where the issuer has taken it already. */
  public boolean withdraw(String name) throws IOException {
    return Files.deleteIfExists(submitted(name));
  }

  private Path submitted(String name) {
    return inbox.resolve(name + ".json");
  }

  /** Waits for the first result of a document; empty where none has come in that time. */
  public Optional<SpoolResult> awaitResult(String name, Duration timeout)
      throws IOException, InterruptedException {
    Path file = outbox.resolve(name + ".result");
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    while (!Files.exists(file)) {
      if (System.nanoTime() > deadlineNanos) {
        return Optional.empty();
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    return Optional.of(SpoolResult.fromJson(new ObjectMapper().readTree(Files.readAllBytes(file))));
  }

  /**
   * Waits until a revision is in force everywhere, or each member that lacks it has refused it.
   *
   * @param number the revision
   * @return the last status that was read
   */
  public RolloutStatus awaitRollout(long number, Duration timeout)
      throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    while (true) {
      RolloutStatus status = readStatus();
      boolean inForce = status.number() >= number && status.isInForceEverywhere();
      boolean settled = status.number() == number && status.isSettled();
      if (inForce || settled || System.nanoTime() > deadlineNanos) {
        return status;
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  /** What the issuer wrote last of the newest revision. */
  public RolloutStatus readStatus() throws IOException {
    return Files.exists(statusFile)
        ? RolloutStatus.fromJson(new ObjectMapper().readTree(Files.readAllBytes(statusFile)))
        : RolloutStatus.NONE;
  }
}
