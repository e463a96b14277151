package reachloom.revision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reachloom.scheduler.state.TokenBucket;

/** The documents that others have asked for: who asked first is served whole before the next. */
final class TransferQueue {
  private static final class Order {
    private final Peer to;
    private final long number;
    private final long base;
    private final byte[] bytes;
    private final int end;
    private final long until;
    private int next;

    Order(long now, Peer to, long number, long base, byte[] bytes, int from) {
      until = now + PATIENCE;
      this.to = to;
      this.number = number;
      this.base = base;
      this.bytes = bytes;
      next = from;
      end = Math.min(ChunkedFetch.pieces(bytes.length), from + ChunkedFetch.WINDOW);
    }
  }

  private static final int MAX_ORDERS = 32; // who finds no room asks another
  // Who has waited for so long (nanoseconds) has asked another by now.
  private static final long PATIENCE = 1_500_000_000;
  private static final int MAX_ASKERS = 256;
  // for one asker; a document has 26, asked for again where some were lost
  private static final int PIECES_A_SECOND = 52;
  private static final int PIECES_A_TICK = 24; // where the budget bears it: 200 KB a second

  private final Map<String, Order> orders = new LinkedHashMap<>();
  private final Map<String, TokenBucket> askers = new LinkedHashMap<>();

  /**
   * Takes an order for the pieces of a document or delta; one asker has one at most, and keeps its
   * turn.
   */
  void order(long now, Peer to, long number, long base, byte[] bytes, int from) {
    boolean full = orders.size() >= MAX_ORDERS && !orders.containsKey(to.name());
    if (full || from < 0 || from >= ChunkedFetch.pieces(bytes.length)) {
      return;
    }
    Order o = new Order(now, to, number, base, bytes, from);
    if (from == 0) {
      orders.put(to.name(), o);
      return;
    }
    orders.remove(to.name()); // half-way through: before those that have not begun
    Map<String, Order> behind = new LinkedHashMap<>(orders);
    orders.clear();
    orders.put(to.name(), o);
    orders.putAll(behind);
  }

  /** Whether nobody waits for a document. */
  boolean idle() {
    return orders.isEmpty();
  }

  /** Sends what the budget bears. */
  void tick(long now, RevisionMessageSender outlet) {
    int left = PIECES_A_TICK;
    orders.values().removeIf(o -> now >= o.until);
    for (Order o : new ArrayList<>(orders.values())) {
      while (o.next < o.end) {
        if (left-- <= 0) {
          return;
        }
        if (!askers.containsKey(o.to.name()) && askers.size() >= MAX_ASKERS) {
          askers.remove(askers.keySet().iterator().next());
        }
        TokenBucket bucket =
            askers.computeIfAbsent(
                o.to.name(), k -> new TokenBucket(PIECES_A_SECOND, PIECES_A_SECOND));
        if (!bucket.take(now)) {
          break;
        }
        RevisionMessage piece =
            new RevisionMessage.Piece(
                o.number,
                o.base,
                o.next,
                ChunkedFetch.pieces(o.bytes.length),
                ChunkedFetch.piece(o.bytes, o.next));
        if (!outlet.send(now, o.to.name(), o.to.address(), List.of(piece))) {
          return; // the budget is used up
        }
        o.next++;
      }
      if (o.next >= o.end) {
        orders.remove(o.to.name());
      }
    }
  }
}
