package reachloom.revision.net;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import reachloom.config.ConfigException;
import reachloom.config.MergePatch;
import reachloom.revision.ProposalResult;
import reachloom.revision.Revision;
import reachloom.time.WallClock;

/**
 * How operators of an issuer's machine hand documents in: {@code inbox/NAME.json} is taken, {@code
 * outbox/NAME.result} tells what became of it, {@code status.json} who has it in force. Who may
 * write to the inbox may issue: the directory's permissions say who.
 */
final class SpoolDirectory {
  private static final Logger LOG = System.getLogger(SpoolDirectory.class.getName());

  /**
   * A document that has lain there for longer was given to an issuer that was down; nobody waits
   * for it.
   */
  private static final long STALE_MS = 30_000;

  private static final long NEVER = Long.MIN_VALUE;
  private static final int AT_ONCE = 16; // files of one look
  private static final int MAX_RESULTS = 256;
  private static final String DOCUMENT = ".json";
  private static final String RESULT = ".result";
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Takes a document that may be issued. */
  interface Taker {
    void take(byte[] document, Consumer<ProposalResult> result);
  }

  private final Path inbox;
  private final Path taken;
  private final Path outbox;
  private final Path status;
  private String last = "";
  private long lookedAtMs = NEVER;

  SpoolDirectory(Path folder) throws IOException {
    inbox = Files.createDirectories(folder.resolve("inbox"));
    taken = Files.createDirectories(folder.resolve("taken"));
    outbox = Files.createDirectories(folder.resolve("outbox"));
    status = folder.resolve("status.json");
    for (Path f : list(taken, DOCUMENT, MAX_RESULTS)) {
      result(
          name(f),
          "RESTARTED",
          0,
          "the issuer was started anew while it dealt with this document; "
              + "its status tells whether it was issued",
          true);
      Files.deleteIfExists(f);
    }
  }

  /**
   * Looks for documents, oldest name first. What was not there at the last look has lain there for
   * no longer than the time since; only for what lay there before the first one the file's own
   * time, by the wall clock, has to do.
   *
   * @param nowMs the process's own time in milliseconds
   */
  void look(long nowMs, Taker taker) {
    long mostAge = lookedAtMs == NEVER ? Long.MAX_VALUE : nowMs - lookedAtMs;
    try {
      List<Path> found = list(inbox, DOCUMENT, AT_ONCE);
      for (Path f : found) {
        take(mostAge, f, taker);
      }
      lookedAtMs = found.size() < AT_ONCE ? nowMs : lookedAtMs; // else some have not been looked at
    } catch (IOException e) {
      LOG.log(Level.WARNING, "{0}: cannot be looked at: {1}", inbox, e.toString());
    }
  }

  private void take(long mostAgeMs, Path f, Taker taker) throws IOException {
    String name = name(f);
    Path mine = taken.resolve(f.getFileName());
    byte[] document;
    try {
      long age =
          Math.min(mostAgeMs, WallClock.unixMillis() - Files.getLastModifiedTime(f).toMillis());
      long size = Files.size(f);
      Files.move(f, mine, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      if (age > STALE_MS) {
        done(name, mine, "STALE", "it lay in the inbox for " + age / 1_000 + " s; give it again");
        return;
      }
      if (size == 0 || size > Revision.MAX_DOCUMENT_BYTES) {
        done(
            name,
            mine,
            ProposalResult.Kind.BAD_SIZE.name(),
            "the document has "
                + size
                + " bytes; 1 to "
                + Revision.MAX_DOCUMENT_BYTES
                + " are allowed");
        return;
      }
      document = Files.readAllBytes(mine);
      MergePatch.read(document);
    } catch (NoSuchFileException e) {
      return; // taken back
    } catch (ConfigException e) {
      done(name, mine, "REFUSED", e.getMessage());
      return;
    }
    taker.take(
        document,
        r -> {
          LOG.log(Level.INFO, "document {0}: {1}, {2}", name, r.kind(), r.text());
          result(name, r.kind().name(), r.number(), r.text(), r.last());
          if (r.last()) {
            forget(mine);
          }
        });
  }

  private void done(String name, Path mine, String kind, String text) {
    LOG.log(Level.WARNING, "document {0} is not issued: {1}", name, text);
    result(name, kind, 0, text, true);
    forget(mine);
  }

  private static void forget(Path f) {
    try {
      Files.deleteIfExists(f);
    } catch (IOException e) {
      LOG.log(Level.WARNING, "{0}: cannot be deleted: {1}", f, e.toString());
    }
  }

  private void result(String name, String kind, long number, String text, boolean last) {
    ObjectNode o =
        JSON.createObjectNode()
            .put("kind", kind)
            .put("number", number)
            .put("text", text)
            .put("last", last);
    try {
      List<Path> old = list(outbox, RESULT, Integer.MAX_VALUE);
      for (int i = 0; i <= old.size() - MAX_RESULTS; i++) {
        Files.deleteIfExists(old.get(i));
      }
      replace(outbox.resolve(name + RESULT), o.toString());
    } catch (IOException e) {
      LOG.log(Level.ERROR, "document {0}: its result can''t be told: {1}", name, e.toString());
    }
  }

  /** Tells how far the newest revision is. */
  void status(RolloutStatus p) {
    String text = p.json().toString();
    if (text.equals(last)) {
      return;
    }
    try {
      replace(status, text);
      last = text;
    } catch (IOException e) {
      LOG.log(Level.WARNING, "{0}: cannot be written: {1}", status, e.toString());
    }
  }

  /** Files of that ending by their names; those that are being written begin with a dot. */
  private static List<Path> list(Path folder, String ending, int most) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(
              f ->
                  f.getFileName().toString().endsWith(ending)
                      && !f.getFileName().toString().startsWith("."))
          .sorted()
          .limit(most)
          .toList();
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
  }

  private static String name(Path f) {
    return f.getFileName().toString().replaceFirst("\\.[a-z]+$", "");
  }

  /** Writes a file that readers see whole or not at all. */
  static void replace(Path file, String text) throws IOException {
    Path next = file.resolveSibling("." + file.getFileName() + ".next");
    Files.writeString(next, text);
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}
