package reachloom.revision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reachloom.scheduler.state.TokenBucket;

/**
 * Documents and deltas that other members have asked for, sent chunk by chunk as far as the budget
 * of the second allows: who asked first gets the whole window before the next one. One transfer per
 * member; a limit of chunks per second and member. Times are nanoseconds of the clock handed in;
 * confined to the thread of {@link RevisionDissemination}.
 */
final class TransferQueue {
  /** The chunks that answer one request. */
  private static final class Transfer {
    private final Peer to;
    private final long number;
    private final long baseNumber;
    private final byte[] bytes;
    private final int end;
    private final long expiresAtNanos;
    private int next;

    Transfer(long nowNanos, Peer to, long number, long baseNumber, byte[] bytes, int from) {
      expiresAtNanos = nowNanos + MAX_WAIT_NANOS;
      this.to = to;
      this.number = number;
      this.baseNumber = baseNumber;
      this.bytes = bytes;
      next = from;
      end = Math.min(Chunks.count(bytes.length), from + Chunks.WINDOW);
    }

    RevisionMessage.Chunk nextChunk() {
      return new RevisionMessage.Chunk(
          number, baseNumber, next, Chunks.count(bytes.length), Chunks.slice(bytes, next));
    }
  }

  /** Who finds no room asks another member. */
  private static final int MAX_TRANSFERS = 32;

  /** Who has waited for so long has asked another member by now. */
  private static final long MAX_WAIT_NANOS = 1_500_000_000;

  /** Members whose rate is remembered. */
  private static final int MAX_RATE_LIMITERS = 256;

  /** To one member; the largest document has 26, asked for again where some were lost. */
  private static final int CHUNKS_PER_SECOND = 52;

  /** Where the budget allows it: 200 KB a second. */
  private static final int CHUNKS_PER_TICK = 24;

  private final Map<String, Transfer> transfers = new LinkedHashMap<>(); // by name of the member
  private final Map<String, TokenBucket> rateLimiters = new LinkedHashMap<>();

  /**
   * Queues the answer to a request; it replaces an earlier one of the same member, which keeps its
   * turn.
   *
   * @param baseNumber the revision that the bytes are a delta from; 0 for a whole document
   * @param from the first chunk that is wanted; nothing is queued where there is no such chunk
   */
  void add(long nowNanos, Peer to, long number, long baseNumber, byte[] bytes, int from) {
    boolean full = transfers.size() >= MAX_TRANSFERS && !transfers.containsKey(to.name());
    if (full || from < 0 || from >= Chunks.count(bytes.length)) {
      return;
    }
    Transfer transfer = new Transfer(nowNanos, to, number, baseNumber, bytes, from);
    if (from == 0) {
      transfers.put(to.name(), transfer);
    } else {
      putFirst(transfer); // half-way through: before those that have not begun
    }
  }

  private void putFirst(Transfer transfer) {
    transfers.remove(transfer.to.name());
    Map<String, Transfer> others = new LinkedHashMap<>(transfers);
    transfers.clear();
    transfers.put(transfer.to.name(), transfer);
    transfers.putAll(others);
  }

  /** Whether nobody waits for a document. */
  boolean isIdle() {
    return transfers.isEmpty();
  }

  /** Sends what the budget allows. */
  void tick(long nowNanos, RevisionMessageSender sender) {
    int left = CHUNKS_PER_TICK;
    transfers.values().removeIf(t -> nowNanos >= t.expiresAtNanos);
    for (Transfer transfer : new ArrayList<>(transfers.values())) {
      while (transfer.next < transfer.end) {
        if (left-- <= 0) {
          return;
        }
        if (!rateLimiter(transfer.to.name()).take(nowNanos)) {
          break;
        }
        if (!sender.send(
            nowNanos, transfer.to.name(), transfer.to.address(), List.of(transfer.nextChunk()))) {
          return; // the budget is used up
        }
        transfer.next++;
      }
      if (transfer.next >= transfer.end) {
        transfers.remove(transfer.to.name());
      }
    }
  }

  /** The limit of one member; the oldest one is forgotten where there are too many. */
  private TokenBucket rateLimiter(String name) {
    if (!rateLimiters.containsKey(name) && rateLimiters.size() >= MAX_RATE_LIMITERS) {
      rateLimiters.remove(rateLimiters.keySet().iterator().next());
    }
    return rateLimiters.computeIfAbsent(
        name, k -> new TokenBucket(CHUNKS_PER_SECOND, CHUNKS_PER_SECOND));
  }
}
