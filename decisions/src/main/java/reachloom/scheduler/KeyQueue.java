package reachloom.scheduler;

import java.util.ArrayDeque;

/** The queries of one key, in the order in which they were taken. */
final class KeyQueue {
  public final String key;
  public final ArrayDeque<QueryRecord> queries = new ArrayDeque<>();
  public long restUntil;

  /** The line of that key. */
  public KeyQueue(String key) {
    this.key = key;
  }
}
