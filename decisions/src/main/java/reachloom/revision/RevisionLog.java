package reachloom.revision;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The newest revisions that are proved, with the documents that are held of them; which is in
 * force; and those that contradict them.
 */
final class RevisionLog {
  /** What a proved revision is to what is held. */
  enum Standing {
    NEWER,
    HELD,
    OLDER,
    FORK
  }

  /** A proved revision; {@code document} is null until it is held. */
  record Entry(Revision revision, long mark, List<Vote> votes, byte[] document) {}

  /** Bases for deltas: one who missed a burst of ten still gets a delta. */
  private static final int MAX_REVISIONS = 16;

  private static final int MAX_BYTES = 4 * Revision.MAX_DOCUMENT_BYTES;
  private static final int MAX_FORKS = 8; // remembered; one is an alarm already

  private final TreeMap<Long, Entry> entries = new TreeMap<>();
  private final TreeMap<Long, Revision> forks = new TreeMap<>(); // by mark
  private Entry inForce;

  /** What a revision that is proved is to this log. */
  Standing judge(Revision r) {
    Entry same = entries.get(r.number());
    if (same != null) {
      return same.revision.equals(r) ? Standing.HELD : Standing.FORK;
    }
    Entry before = entries.get(r.number() - 1);
    Entry after = entries.get(r.number() + 1);
    boolean torn =
        before != null && !follows(before.revision, r)
            || after != null && !follows(r, after.revision)
            || forks.values().stream().anyMatch(f -> f.number() + 1 == r.number() && follows(f, r));
    if (torn) {
      return Standing.FORK;
    }
    return entries.isEmpty() || r.number() > entries.lastKey() ? Standing.NEWER : Standing.OLDER;
  }

  private static boolean follows(Revision before, Revision r) {
    return Arrays.equals(before.chain(), r.previous());
  }

  /** Takes in a newer revision; {@code document} may be null. */
  void add(Revision revision, List<Vote> votes, byte[] document) {
    Entry e = new Entry(revision, revision.mark(), List.copyOf(votes), document);
    entries.put(revision.number(), e);
    trim();
  }

  /** The document of a revision that is held is here. */
  void document(long number, byte[] document) {
    Entry e = entries.get(number);
    entries.put(number, new Entry(e.revision, e.mark, e.votes, document));
    trim();
  }

  private void trim() {
    Entry held = newestHeld();
    for (Map.Entry<Long, Entry> e : List.copyOf(entries.entrySet())) {
      int bytes =
          entries.values().stream().mapToInt(h -> h.document == null ? 0 : h.document.length).sum();
      if (entries.size() <= MAX_REVISIONS && bytes <= MAX_BYTES) {
        return;
      }
      long n = e.getKey();
      boolean kept =
          inForce != null && n == inForce.revision.number()
              || n == entries.lastKey()
              || held != null && n == held.revision.number();
      if (!kept) {
        entries.remove(n);
      }
    }
  }

  /** Notes one that contradicts what is held; whether it is a new one. */
  boolean fork(Revision r) {
    return forks.size() < MAX_FORKS && forks.putIfAbsent(r.mark(), r) == null;
  }

  /** The newest that is proved, or null. */
  Entry newest() {
    return entries.isEmpty() ? null : entries.lastEntry().getValue();
  }

  long newestNumber() {
    return entries.isEmpty() ? 0 : entries.lastKey();
  }

  /** The newest of which the document is held, or null. */
  Entry newestHeld() {
    return heldBelow(Long.MAX_VALUE);
  }

  /** The newest below that number of which the document is held, or null. */
  Entry heldBelow(long number) {
    for (Entry e : entries.headMap(number, false).descendingMap().values()) {
      if (e.document != null) {
        return e;
      }
    }
    return null;
  }

  /**
   * The revision with that number and mark if its document is held, or null; mark 0 stands for
   * each.
   */
  Entry held(long number, long mark) {
    Entry e = entries.get(number);
    return e != null && e.document != null && (mark == 0 || mark == e.mark) ? e : null;
  }

  Entry get(long number) {
    return entries.get(number);
  }

  /**
   * What was handed to the host is in force; it is held also if newer ones have driven it out
   * meanwhile.
   */
  void inForce(Entry e) {
    inForce = e;
    entries.putIfAbsent(e.revision.number(), e);
    trim();
  }

  /** What is in force here, or null. */
  Entry inForce() {
    return inForce;
  }

  List<Revision> forks() {
    return List.copyOf(forks.values());
  }
}
