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
 * The client of an issuer's {@link SpoolDirectory}: submits documents, and reads their results. Not
 * thread-safe.
 */
public final class SpoolClient {
  private static final long POLL_INTERVAL_MILLIS = 50;

  private final Path inbox;
  private final Path outbox;
  private final Path statusFile;

  /** Creates a client of the issuer that runs with that directory on this machine. */
  public SpoolClient(Path directory) {
    inbox = directory.resolve("inbox");
    outbox = directory.resolve("outbox");
    statusFile = directory.resolve("status.json");
  }

  /**
   * Returns the directory for submitted documents, which exists once an issuer has been started.
   */
  public Path inbox() {
    return inbox;
  }

  /**
   * Submits a document atomically: the issuer never sees a part of it.
   *
   * @return the name under which its result is found
   */
  public String submit(byte[] document) throws IOException {
    String name = WallClock.unixMillis() + "-" + UUID.randomUUID();
    Path hidden = inbox.resolve("." + name + ".next");
    Files.write(hidden, document);
    Files.move(hidden, submitted(name), StandardCopyOption.ATOMIC_MOVE);
    return name;
  }

  /** Withdraws a document; returns false if the issuer has already taken it. */
  public boolean withdraw(String name) throws IOException {
    return Files.deleteIfExists(submitted(name));
  }

  private Path submitted(String name) {
    return inbox.resolve(name + ".json");
  }

  /**
   * Waits for the first result of a document; returns empty if there is none before the timeout.
   */
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
   * Waits until a revision or a newer one is in force everywhere, each member that lacks the
   * revision has refused it, or the timeout has expired.
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

  /** Returns the issuer's last status of the newest revision. */
  public RolloutStatus readStatus() throws IOException {
    return Files.exists(statusFile)
        ? RolloutStatus.fromJson(new ObjectMapper().readTree(Files.readAllBytes(statusFile)))
        : RolloutStatus.NONE;
  }
}
