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
 * How operators on an issuer's machine hand documents in: {@code inbox/NAME.json} is taken, {@code
 * outbox/NAME.result} tells what became of it, {@code status.json} who has it in force. While the
 * issuer deals with a document it lies in {@code taken}. Who may write to the inbox may issue: the
 * directory's permissions say who.
 *
 * <p>Files appear whole or not at all; those that are being written have names that begin with a
 * dot. Confined to the thread of the issuer's event loop.
 */
final class SpoolDirectory {
  private static final Logger LOG = System.getLogger(SpoolDirectory.class.getName());

  /**
   * A document that has lain there for longer was given to an issuer that was down; nobody waits
   * for it.
   */
  private static final long MAX_AGE_MILLIS = 30_000;

  private static final int MAX_FILES_PER_POLL = 16;
  private static final int MAX_RESULTS = 256;
  private static final String DOCUMENT_SUFFIX = ".json";
  private static final String RESULT_SUFFIX = ".result";

  /** Takes documents that may be issued. */
  interface DocumentHandler {
    /**
     * A document has come.
     *
     * @param results is to be given each result of it
     */
    void onDocument(byte[] document, Consumer<ProposalResult> results);
  }

  private final Path inbox;
  private final Path taken;
  private final Path outbox;
  private final Path statusFile;
  private String writtenStatus = "";

  /** When the inbox was seen whole; empty before the first time. */
  private OptionalLong polledAtMillis = OptionalLong.empty();

  /**
   * Opens the spool, and reports those documents that a process before this one did not finish.
   *
   * @throws IOException if the directories cannot be made or read
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
   * Takes the documents in the inbox, oldest name first. What was not there at the last poll has
   * lain there for no longer than the time since; only for what lay there before the first one the
   * file's own time, by the wall clock, has to do.
   *
   * @param nowMillis the process's own time, which is never stepped
   */
  void poll(long nowMillis, DocumentHandler handler) {
    long maxAgeMillis =
        polledAtMillis.isPresent() ? nowMillis - polledAtMillis.getAsLong() : Long.MAX_VALUE;
    try {
      List<Path> found = list(inbox, DOCUMENT_SUFFIX, MAX_FILES_PER_POLL);
      for (Path file : found) {
        take(maxAgeMillis, file, handler);
      }
      if (found.size() < MAX_FILES_PER_POLL) { // else some have not been looked at
        polledAtMillis = OptionalLong.of(nowMillis);
      }
    } catch (IOException e) {
      LOG.log(Level.WARNING, "{0}: cannot be looked at: {1}", inbox, e.toString());
    }
  }

  private void take(long maxAgeMillis, Path file, DocumentHandler handler) throws IOException {
    String name = name(file);
    Path takenFile = taken.resolve(file.getFileName());
    byte[] document;
    try {
      document = read(maxAgeMillis, file, takenFile);
    } catch (NoSuchFileException e) {
      return; // its owner has taken it back
    } catch (RejectedDocumentException e) {
      LOG.log(Level.WARNING, "document {0} is not issued: {1}", name, e.getMessage());
      writeResult(name, SpoolResult.rejected(e.rejection(), e.getMessage()));
      delete(e.file());
      return;
    }
    handler.onDocument(document, result -> report(name, takenFile, result));
  }

  /** Moves a document out of the inbox, and reads it if it may be issued. */
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
      LOG.log(Level.ERROR, "document {0}: its result can''t be told: {1}", name, e.toString());
    }
  }

  /** Writes who has the newest revision in force, where that has changed. */
  void writeStatus(RolloutStatus status) {
    String text = status.toJson();
    if (text.equals(writtenStatus)) {
      return;
    }
    try {
      replace(statusFile, text);
      writtenStatus = text;
    } catch (IOException e) {
      LOG.log(Level.WARNING, "{0}: cannot be written: {1}", statusFile, e.toString());
    }
  }

  // ---- Files ----

  /** Files with that suffix in the order of their names, but those that are being written. */
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

  /** Writes a file that readers see whole or not at all. */
  private static void replace(Path file, String text) throws IOException {
    Path next = file.resolveSibling("." + file.getFileName() + ".next");
    Files.writeString(next, text);
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}
