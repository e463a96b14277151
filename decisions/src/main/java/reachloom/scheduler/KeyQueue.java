package reachloom.scheduler;

import java.util.ArrayDeque;

/** The unfinished queries of one key, in order of arrival. */
final class KeyQueue {
  final String key;
  final ArrayDeque<QueryRecord> queries = new ArrayDeque<>();

  /** Until when no query of the key may start, since an earlier attempt may still be running. */
  long blockedUntilNanos;

  /** Creates the empty queue of the given key. */
  KeyQueue(String key) {
    this.key = key;
  }
}
