package reachloom.revision;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The newest proved revisions with the documents that are held, the revision in force at this
 * member, and the revisions that conflict with them (forks). Bounded: the oldest revisions are
 * dropped first, but never the newest, the newest whose document is held, or the one in force.
 *
 * <p>Confined to the thread of {@link RevisionDissemination}.
 */
final class RevisionLog {
  /** The relation of a proved revision to the revisions in the log. */
  enum Classification {
    /** It is newer than all revisions in the log. */
    NEWER,
    /** It is in the log, with or without its document. */
    KNOWN,
    /** It is older than the newest revision in the log, and conflicts with none. */
    OLDER,
    /** It conflicts with a revision in the log, or follows one that does. */
    FORK
  }

  /**
   * A proved revision.
   *
   * @param fingerprint the {@link Revision#fingerprint} of the revision
   * @param votes the proof: the votes of a majority of the issuers
   * @param document its document; null until it is held
   */
  record Entry(Revision revision, long fingerprint, List<Vote> votes, byte[] document) {
    long number() {
      return revision.number();
    }

    boolean hasDocument() {
      return document != null;
    }

    /** Returns the revision with its proof, as a message. */
    RevisionMessage.Notice notice() {
      return new RevisionMessage.Notice(revision, votes);
    }
  }

  /** Bases for deltas; enough for a delta to a member that has missed ten revisions in a row. */
  private static final int MAX_ENTRIES = 16;

  /** Maximum total size of the held documents. */
  private static final int MAX_BYTES = 4 * Revision.MAX_DOCUMENT_BYTES;

  /** Maximum number of stored forks; the first one already raises an alarm. */
  private static final int MAX_FORKS = 8;

  private final TreeMap<Long, Entry> entries = new TreeMap<>(); // by number
  private final TreeMap<Long, Revision> forks = new TreeMap<>(); // by fingerprint
  private Entry inForce; // null for none
  private long newestSinceNanos;

  /** Classifies a proved revision relative to the revisions in the log. */
  Classification classify(Revision revision) {
    Entry same = entries.get(revision.number());
    if (same != null) {
      return same.revision.equals(revision) ? Classification.KNOWN : Classification.FORK;
    }
    Entry before = entries.get(revision.number() - 1);
    Entry after = entries.get(revision.number() + 1);
    boolean conflicts =
        before != null && !follows(before.revision, revision)
            || after != null && !follows(revision, after.revision)
            || followsFork(revision);
    if (conflicts) {
      return Classification.FORK;
    }
    boolean newer = entries.isEmpty() || revision.number() > entries.lastKey();
    return newer ? Classification.NEWER : Classification.OLDER;
  }

  private boolean followsFork(Revision revision) {
    return forks.values().stream()
        .anyMatch(fork -> fork.number() + 1 == revision.number() && follows(fork, revision));
  }

  private static boolean follows(Revision before, Revision revision) {
    return Arrays.equals(before.chain(), revision.previous());
  }

  /** Adds a newer revision; {@code document} is null if it is not held yet. */
  void add(long nowNanos, Revision revision, List<Vote> votes, byte[] document) {
    Entry entry = new Entry(revision, revision.fingerprint(), List.copyOf(votes), document);
    entries.put(revision.number(), entry);
    newestSinceNanos = nowNanos;
    trim();
  }

  /** Adds the document of a revision that was added without it. */
  void addDocument(long number, byte[] document) {
    Entry entry = entries.get(number);
    entries.put(number, new Entry(entry.revision, entry.fingerprint, entry.votes, document));
    trim();
  }

  private void trim() {
    Entry newestWithDocument = newestWithDocument().orElse(null);
    for (Map.Entry<Long, Entry> oldest : List.copyOf(entries.entrySet())) {
      if (entries.size() <= MAX_ENTRIES && documentBytes() <= MAX_BYTES) {
        return;
      }
      long number = oldest.getKey();
      boolean kept =
          inForce != null && number == inForce.number()
              || number == entries.lastKey()
              || newestWithDocument != null && number == newestWithDocument.number();
      if (!kept) {
        entries.remove(number);
      }
    }
  }

  private int documentBytes() {
    return entries.values().stream().mapToInt(e -> e.hasDocument() ? e.document.length : 0).sum();
  }

  /** Stores a conflicting revision; returns whether it is new and there was room for it. */
  boolean addFork(Revision revision) {
    return forks.size() < MAX_FORKS && forks.putIfAbsent(revision.fingerprint(), revision) == null;
  }

  /** Returns the newest proved revision. */
  Optional<Entry> newest() {
    return entries.isEmpty() ? Optional.empty() : Optional.of(entries.lastEntry().getValue());
  }

  /** Returns the number of the newest proved revision; 0 for none. */
  long newestNumber() {
    return entries.isEmpty() ? 0 : entries.lastKey();
  }

  /** Returns when the newest revision was added, in nanoseconds; undefined while there is none. */
  long newestSinceNanos() {
    return newestSinceNanos;
  }

  /** Returns the newest revision whose document is held. */
  Optional<Entry> newestWithDocument() {
    return newestWithDocumentBelow(Long.MAX_VALUE);
  }

  /** Returns the newest revision below that number whose document is held. */
  Optional<Entry> newestWithDocumentBelow(long number) {
    for (Entry entry : entries.headMap(number, false).descendingMap().values()) {
      if (entry.hasDocument()) {
        return Optional.of(entry);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the revision with that number and fingerprint if its document is held; fingerprint 0
   * matches any.
   */
  Optional<Entry> withDocument(long number, long fingerprint) {
    Entry entry = entries.get(number);
    boolean matches =
        entry != null
            && entry.hasDocument()
            && (fingerprint == 0 || fingerprint == entry.fingerprint);
    return matches ? Optional.of(entry) : Optional.empty();
  }

  /** Returns the revision with that number, with or without its document. */
  Optional<Entry> get(long number) {
    return Optional.ofNullable(entries.get(number));
  }

  /**
   * Records that a revision passed to the host is in force now. It is added again if newer ones
   * have displaced it meanwhile.
   */
  void setInForce(Entry entry) {
    inForce = entry;
    entries.putIfAbsent(entry.number(), entry);
    trim();
  }

  /** Returns the revision in force at this member. */
  Optional<Entry> inForce() {
    return Optional.ofNullable(inForce);
  }

  /** Returns this member's state: the revision in force and the newest one with its document. */
  RevisionMessage.Have have() {
    return new RevisionMessage.Have(
        inForce == null ? 0 : inForce.number(),
        inForce == null ? 0 : inForce.fingerprint,
        newestWithDocument().map(Entry::number).orElse(0L));
  }

  /** Returns the stored forks, ordered by fingerprint. */
  List<Revision> forks() {
    return List.copyOf(forks.values());
  }
}
