package reachloom.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The queue of updates to disseminate, with the latest update of each member (SWIM, section 4.1).
 * Each update is sent a bounded number of times; the one sent least often goes first, and the
 * newest among equals. If the queue is full, the oldest update is dropped.
 */
final class UpdateQueue {
  private static final int MAX_UPDATES = 1_024; // at most one per member
  private static final double TRANSMISSIONS_PER_DOUBLING = 3; // of the cluster size

  private static final class QueuedUpdate {
    private final MembershipUpdate update;
    private final long sequence;
    private int transmissions;

    QueuedUpdate(MembershipUpdate update, long sequence) {
      this.update = update;
      this.sequence = sequence;
    }
  }

  private static final Comparator<QueuedUpdate> FEWEST_TRANSMISSIONS_THEN_NEWEST =
      Comparator.<QueuedUpdate>comparingInt(queued -> queued.transmissions)
          .thenComparingLong(queued -> -queued.sequence);

  private final Map<String, QueuedUpdate> queue = new LinkedHashMap<>();
  private long nextSequence;

  /** Queues an update, which replaces an older one on the same member. */
  void add(MembershipUpdate update) {
    queue.remove(update.member());
    if (queue.size() >= MAX_UPDATES) {
      queue.remove(queue.keySet().iterator().next());
    }
    queue.put(update.member(), new QueuedUpdate(update, nextSequence++));
  }

  /**
   * Returns the updates for one packet, {@code first} before all others, and counts the queued ones
   * as sent.
   *
   * @param first an update that is sent with this packet if it fits, whether or not it is queued
   * @param clusterSize the number of members, which bounds how often an update is sent
   * @param maxBytes the total size limit of the updates, in bytes
   */
  List<MembershipUpdate> take(
      Optional<MembershipUpdate> first, int clusterSize, int maxBytes, WireSizes sizes) {
    List<MembershipUpdate> taken = new ArrayList<>();
    int remainingBytes = maxBytes;
    if (first.isPresent() && sizes.updateBytes(first.get()) <= remainingBytes) {
      taken.add(first.get());
      remainingBytes -= sizes.updateBytes(first.get());
    }
    if (queue.isEmpty()) {
      return taken;
    }
    String firstMember = first.map(MembershipUpdate::member).orElse("");
    int maxTransmissions = maxTransmissions(clusterSize);
    List<QueuedUpdate> order = new ArrayList<>(queue.values());
    order.sort(FEWEST_TRANSMISSIONS_THEN_NEWEST);
    for (QueuedUpdate queued : order) {
      int updateBytes = sizes.updateBytes(queued.update);
      if (updateBytes > remainingBytes) {
        break;
      }
      if (queued.update.member().equals(firstMember)) {
        continue;
      }
      taken.add(queued.update);
      remainingBytes -= updateBytes;
      if (++queued.transmissions >= maxTransmissions) {
        queue.remove(queued.update.member());
      }
    }
    return taken;
  }

  /** Returns how often an update is sent in a cluster of that size: logarithmic, as in SWIM. */
  static int maxTransmissions(int clusterSize) {
    return (int) Math.ceil(TRANSMISSIONS_PER_DOUBLING * (Math.log(clusterSize + 1) / Math.log(2)));
  }

  int size() {
    return queue.size();
  }
}
