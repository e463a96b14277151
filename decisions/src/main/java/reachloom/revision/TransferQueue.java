package reachloom.revision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reachloom.scheduler.state.TokenBucket;

/**
 * Sends the documents and deltas that other members have requested, chunk by chunk as far as the
 * byte budget of the current second allows. Transfers are served in order of request, continued
 * ones first, each for its whole window. There is one transfer per member, and a limit of chunks
 * per second and member. Times are nanoseconds of the clock that the caller passes in; confined to
 * the thread of {@link RevisionDissemination}.
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

  /** Maximum number of transfers; a rejected requester tries another member. */
  private static final int MAX_TRANSFERS = 32;

  /** Time after which a transfer is dropped: the requester has switched to another member. */
  private static final long MAX_WAIT_NANOS = 1_500_000_000;

  /** Maximum number of members with a rate limiter. */
  private static final int MAX_RATE_LIMITERS = 256;

  /** Limit per member: twice the 26 chunks of the largest document, to allow for lost ones. */
  private static final int CHUNKS_PER_SECOND = 52;

  /** Limit per tick if the byte budget allows it: 200 KB/s. */
  private static final int CHUNKS_PER_TICK = 24;

  private final Map<String, Transfer> transfers = new LinkedHashMap<>(); // by name of the member
  private final Map<String, TokenBucket> rateLimiters = new LinkedHashMap<>();

  /**
   * Queues the answer to a request. It replaces an earlier one of the same member and keeps its
   * position; an answer that continues a transfer ({@code from} above 0) goes first.
   *
   * @param baseNumber the base revision of the delta; 0 for a whole document
   * @param from the first requested chunk; nothing is queued if there is no such chunk
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
      putFirst(transfer); // a continued transfer precedes those that have not started
    }
  }

  private void putFirst(Transfer transfer) {
    transfers.remove(transfer.to.name());
    Map<String, Transfer> others = new LinkedHashMap<>(transfers);
    transfers.clear();
    transfers.put(transfer.to.name(), transfer);
    transfers.putAll(others);
  }

  /** Returns whether no transfer is pending. */
  boolean isIdle() {
    return transfers.isEmpty();
  }

  /** Sends the chunks that the byte budget allows. */
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
          return; // the byte budget is used up
        }
        transfer.next++;
      }
      if (transfer.next >= transfer.end) {
        transfers.remove(transfer.to.name());
      }
    }
  }

  /** Returns the rate limiter of one member; evicts the oldest one if there are too many. */
  private TokenBucket rateLimiter(String name) {
    if (!rateLimiters.containsKey(name) && rateLimiters.size() >= MAX_RATE_LIMITERS) {
      rateLimiters.remove(rateLimiters.keySet().iterator().next());
    }
    return rateLimiters.computeIfAbsent(
        name, k -> new TokenBucket(CHUNKS_PER_SECOND, CHUNKS_PER_SECOND));
  }
}
