package reachloom.revision;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The newest revisions that are proved, with the documents that are held of them; which of them is
 * in force here; and the revisions that contradict them (forks). Bounded: old revisions are dropped
 * first, but never the newest, the newest whose document is held, or the one in force.
 *
 * <p>Confined to the thread of {@link RevisionDissemination}.
 */
final class RevisionLog {
  /** What a proved revision is to those that are held. */
  enum Classification {
    /** It comes after all that are held. */
    NEWER,
    /** It is held, with its document or without. */
    KNOWN,
    /** It comes before the newest one that is held, and contradicts none. */
    OLDER,
    /** It contradicts one that is held, or follows one that does. */
    FORK
  }

  /**
   * A proved revision.
   *
   * @param fingerprint {@link Revision#fingerprint} of the revision
   * @param votes the proof: the votes of a majority of the issuers
   * @param document null until it is held
   */
  record Entry(Revision revision, long fingerprint, List<Vote> votes, byte[] document) {
    long number() {
      return revision.number();
    }

    boolean hasDocument() {
      return document != null;
    }

    /** The revision with its proof, as a message. */
    RevisionMessage.Notice notice() {
      return new RevisionMessage.Notice(revision, votes);
    }
  }

  /** Bases for deltas: a member that missed a burst of ten still gets a delta. */
  private static final int MAX_ENTRIES = 16;

  /** Bytes of all documents that are held. */
  private static final int MAX_BYTES = 4 * Revision.MAX_DOCUMENT_BYTES;

  /** Forks that are remembered; the first one is an alarm already. */
  private static final int MAX_FORKS = 8;

  private final TreeMap<Long, Entry> entries = new TreeMap<>(); // by number
  private final TreeMap<Long, Revision> forks = new TreeMap<>(); // by fingerprint
  private Entry inForce; // null for none
  private long newestSinceNanos;

  /** What a proved revision is to those that are held. */
  Classification classify(Revision revision) {
    Entry same = entries.get(revision.number());
    if (same != null) {
      return same.revision.equals(revision) ? Classification.KNOWN : Classification.FORK;
    }
    Entry before = entries.get(revision.number() - 1);
    Entry after = entries.get(revision.number() + 1);
    boolean contradicts =
        before != null && !follows(before.revision, revision)
            || after != null && !follows(revision, after.revision)
            || followsFork(revision);
    if (contradicts) {
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

  /** Takes in a newer revision; {@code document} is null where it is not held yet. */
  void add(long nowNanos, Revision revision, List<Vote> votes, byte[] document) {
    Entry entry = new Entry(revision, revision.fingerprint(), List.copyOf(votes), document);
    entries.put(revision.number(), entry);
    newestSinceNanos = nowNanos;
    trim();
  }

  /** Keeps the document of a revision that was taken in without it. */
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

  /** Remembers a revision that contradicts those that are held; whether it was not known yet. */
  boolean addFork(Revision revision) {
    return forks.size() < MAX_FORKS && forks.putIfAbsent(revision.fingerprint(), revision) == null;
  }

  /** The newest that is proved. */
  Optional<Entry> newest() {
    return entries.isEmpty() ? Optional.empty() : Optional.of(entries.lastEntry().getValue());
  }

  /** The number of the newest that is proved; 0 for none. */
  long newestNumber() {
    return entries.isEmpty() ? 0 : entries.lastKey();
  }

  /** When the newest was taken in, nanoseconds; of no meaning while there is none. */
  long newestSinceNanos() {
    return newestSinceNanos;
  }

  /** The newest whose document is held. */
  Optional<Entry> newestWithDocument() {
    return newestWithDocumentBelow(Long.MAX_VALUE);
  }

  /** The newest below that number whose document is held. */
  Optional<Entry> newestWithDocumentBelow(long number) {
    for (Entry entry : entries.headMap(number, false).descendingMap().values()) {
      if (entry.hasDocument()) {
        return Optional.of(entry);
      }
    }
    return Optional.empty();
  }

  /** The revision with that number and fingerprint if its document is held; fingerprint 0 matches each. */
  Optional<Entry> withDocument(long number, long fingerprint) {
    Entry entry = entries.get(number);
    boolean matches = entry != null && entry.hasDocument() && (fingerprint == 0 || fingerprint == entry.fingerprint);
    return matches ? Optional.of(entry) : Optional.empty();
  }

  /** The revision with that number, with its document or without. */
  Optional<Entry> get(long number) {
    return Optional.ofNullable(entries.get(number));
  }

  /**
   * A revision that was handed to the host is in force now. It is held again where newer ones have
   * driven it out meanwhile.
   */
  void setInForce(Entry entry) {
    inForce = entry;
    entries.putIfAbsent(entry.number(), entry);
    trim();
  }

  /** The revision that is in force here. */
  Optional<Entry> inForce() {
    return Optional.ofNullable(inForce);
  }

  /** What this member tells of itself: what it has in force, and the newest document it holds. */
  RevisionMessage.Have have() {
    return new RevisionMessage.Have(
        inForce == null ? 0 : inForce.number(),
        inForce == null ? 0 : inForce.fingerprint,
        newestWithDocument().map(Entry::number).orElse(0L));
  }

  /** The forks that were seen, in the order of their fingerprints. */
  List<Revision> forks() {
    return List.copyOf(forks.values());
  }
}
