package reachloom.revision.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.stream.Stream;
import reachloom.config.ConfigException;
import reachloom.config.MergePatch;
import reachloom.revision.ProposalResult;
import reachloom.revision.Revision;
import reachloom.time.WallClock;

/**
 * The directory through which operators on an issuer's machine submit documents. A document is
 * submitted as {@code inbox/NAME.json}, moved to {@code taken} while the issuer processes it, and
 * its result is written to {@code outbox/NAME.result}; {@code status.json} contains the rollout
 * status. Any user with write permission for the inbox can issue revisions, so the directory's
 * permissions control that right.
 *
 * <p>Files are written under a name that begins with a dot, and then renamed atomically. Confined
 * to the thread of the issuer's event loop.
 */
final class SpoolDirectory {
  private static final Logger LOG = System.getLogger(SpoolDirectory.class.getName());

  /**
   * The maximum age of a document in the inbox. An older one was submitted while the issuer was
   * down, and its client no longer waits for the result.
   */
  private static final long MAX_AGE_MILLIS = 30_000;

  private static final int MAX_FILES_PER_POLL = 16;
  private static final int MAX_RESULTS = 256;
  private static final String DOCUMENT_SUFFIX = ".json";
  private static final String RESULT_SUFFIX = ".result";

  /** Receives documents that may be issued. */
  interface DocumentHandler {
    /**
     * Handles a document.
     *
     * @param results receives each result of the document
     */
    void onDocument(byte[] document, Consumer<ProposalResult> results);
  }

  private final Path inbox;
  private final Path taken;
  private final Path outbox;
  private final Path statusFile;
  private String writtenStatus = "";

  /** When all files in the inbox were last processed; empty before the first time. */
  private OptionalLong polledAtMillis = OptionalLong.empty();

  /**
   * Opens the spool, and reports documents that a previous process did not finish.
   *
   * @throws IOException if the directories cannot be created or read
   */
  SpoolDirectory(Path directory) throws IOException {
    inbox = Files.createDirectories(directory.resolve("inbox"));
    taken = Files.createDirectories(directory.resolve("taken"));
    outbox = Files.createDirectories(directory.resolve("outbox"));
    statusFile = directory.resolve("status.json");
    for (Path file : list(taken, DOCUMENT_SUFFIX, MAX_RESULTS)) {
      writeResult(
          name(file),
          SpoolResult.rejected(
              SpoolRejection.RESTARTED,
              "the issuer was started anew while it dealt with this document; "
                  + "its status tells whether it was issued"));
      Files.deleteIfExists(file);
    }
  }

  // ---- The inbox ----

  /**
   * Processes up to 16 documents in the inbox, in the order of their names. A document that was not
   * there at the last poll that found all files is no older than the time since that poll. Its age
   * is the smaller of that time and the age by the file's modification time and the wall clock;
   * before the first such poll it is the latter.
   *
   * @param nowMillis the process's own time, which is never stepped
   */
  void poll(long nowMillis, DocumentHandler handler) {
    long maxAgeMillis =
        polledAtMillis.isPresent() ? nowMillis - polledAtMillis.getAsLong() : Long.MAX_VALUE;
    try {
      List<Path> found = list(inbox, DOCUMENT_SUFFIX, MAX_FILES_PER_POLL);
      for (Path file : found) {
        process(maxAgeMillis, file, handler);
      }
      if (found.size() < MAX_FILES_PER_POLL) { // otherwise more files may be waiting
        polledAtMillis = OptionalLong.of(nowMillis);
      }
    } catch (IOException e) {
      LOG.log(Level.WARNING, "{0}: cannot process submitted documents: {1}", inbox, e.toString());
    }
  }

  private void process(long maxAgeMillis, Path file, DocumentHandler handler) throws IOException {
    String name = name(file);
    Path takenFile = taken.resolve(file.getFileName());
    byte[] document;
    try {
      document = read(maxAgeMillis, file, takenFile);
    } catch (NoSuchFileException e) {
      return; // the client has withdrawn the document
    } catch (RejectedDocumentException e) {
      LOG.log(Level.WARNING, "document {0} is rejected: {1}", name, e.getMessage());
      writeResult(name, SpoolResult.rejected(e.rejection(), e.getMessage()));
      delete(e.file());
      return;
    }
    handler.onDocument(document, result -> report(name, takenFile, result));
  }

  /** Moves a document out of the inbox, reads it, and checks that it may be issued. */
  private static byte[] read(long maxAgeMillis, Path file, Path takenFile)
      throws IOException, RejectedDocumentException {
    long fileAgeMillis = WallClock.unixMillis() - Files.getLastModifiedTime(file).toMillis();
    long ageMillis = Math.min(maxAgeMillis, fileAgeMillis);
    long bytes = Files.size(file);
    Files.move(
        file, takenFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    if (ageMillis > MAX_AGE_MILLIS) {
      throw new RejectedDocumentException(
          takenFile,
          SpoolRejection.STALE,
          "it lay in the inbox for " + ageMillis / 1_000 + " s; give it again");
    }
    if (bytes == 0 || bytes > Revision.MAX_DOCUMENT_BYTES) {
      throw new RejectedDocumentException(
          takenFile,
          SpoolRejection.BAD_SIZE,
          "the document has "
              + bytes
              + " bytes; 1 to "
              + Revision.MAX_DOCUMENT_BYTES
              + " are allowed");
    }
    byte[] document = Files.readAllBytes(takenFile);
    try {
      MergePatch.read(document);
    } catch (ConfigException e) {
      throw new RejectedDocumentException(takenFile, SpoolRejection.REFUSED, e.getMessage());
    }
    return document;
  }

  // ---- Results and status ----

  private void report(String name, Path takenFile, ProposalResult result) {
    LOG.log(Level.INFO, "document {0}: {1}, {2}", name, result.kind(), result.text());
    writeResult(name, SpoolResult.of(result));
    if (result.isFinal()) {
      delete(takenFile);
    }
  }

  private void writeResult(String name, SpoolResult result) {
    try {
      List<Path> results = list(outbox, RESULT_SUFFIX, Integer.MAX_VALUE);
      for (int i = 0; i <= results.size() - MAX_RESULTS; i++) {
        Files.deleteIfExists(results.get(i));
      }
      replace(outbox.resolve(name + RESULT_SUFFIX), result.toJson());
    } catch (IOException e) {
      LOG.log(Level.ERROR, "document {0}: cannot write its result: {1}", name, e.toString());
    }
  }

  /** Writes the rollout status of the newest revision if it has changed. */
  void writeStatus(RolloutStatus status) {
    String text = status.toJson();
    if (text.equals(writtenStatus)) {
      return;
    }
    try {
      replace(statusFile, text);
      writtenStatus = text;
    } catch (IOException e) {
      LOG.log(Level.WARNING, "{0}: cannot write the rollout status: {1}", statusFile, e.toString());
    }
  }

  // ---- Files ----

  /** Returns the completely written files with that suffix, in the order of their names. */
  private static List<Path> list(Path directory, String suffix, int maxFiles) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(file -> isComplete(file, suffix)).sorted().limit(maxFiles).toList();
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
  }

  private static boolean isComplete(Path file, String suffix) {
    String name = file.getFileName().toString();
    return name.endsWith(suffix) && !name.startsWith(".");
  }

  private static String name(Path file) {
    return file.getFileName().toString().replaceFirst("\\.[a-z]+$", "");
  }

  private static void delete(Path file) {
    try {
      Files.deleteIfExists(file);
    } catch (IOException e) {
      LOG.log(Level.WARNING, "{0}: cannot be deleted: {1}", file, e.toString());
    }
  }

  /** Replaces a file atomically, so that readers never see a part of it. */
  private static void replace(Path file, String text) throws IOException {
    Path next = file.resolveSibling("." + file.getFileName() + ".next");
    Files.writeString(next, text);
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}
