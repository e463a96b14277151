package reachloom.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Updates on their way round the cluster, the latest of each member (SWIM, section 4.1). Each one
 * is sent a bounded number of times; what was sent least goes first, and of equals the newest. With
 * the queue full, the oldest update is dropped.
 */
final class UpdateQueue {
  private static final int MAX_UPDATES = 1_024; // members with an update at one time
  private static final double TRANSMISSIONS_PER_DOUBLING = 3; // of the number of members

  private static final class QueuedUpdate {
    private final MembershipUpdate update;
    private final long number;
    private int transmissions;

    QueuedUpdate(MembershipUpdate update, long number) {
      this.update = update;
      this.number = number;
    }
  }

  private static final Comparator<QueuedUpdate> LEAST_SENT_THEN_NEWEST =
      Comparator.<QueuedUpdate>comparingInt(queued -> queued.transmissions)
          .thenComparingLong(queued -> -queued.number);

  private final Map<String, QueuedUpdate> queue = new LinkedHashMap<>();
  private long nextNumber;

  /** Queues an update, in the place of an older one on the same member. */
  void add(MembershipUpdate update) {
    queue.remove(update.member());
    if (queue.size() >= MAX_UPDATES) {
      queue.remove(queue.keySet().iterator().next());
    }
    queue.put(update.member(), new QueuedUpdate(update, nextNumber++));
  }

  /**
   * Takes the updates for one packet, the given one before all others.
   *
   * @param first an update that is sent with this packet in any case, as far as it fits
   * @param clusterSize how many members there are; bounds how often an update is sent
   * @param maxBytes how many bytes all of them may take
   */
  List<MembershipUpdate> take(
      Optional<MembershipUpdate> first, int clusterSize, int maxBytes, WireSizes sizes) {
    List<MembershipUpdate> taken = new ArrayList<>();
    int leftBytes = maxBytes;
    if (first.isPresent() && sizes.updateBytes(first.get()) <= leftBytes) {
      taken.add(first.get());
      leftBytes -= sizes.updateBytes(first.get());
    }
    if (queue.isEmpty()) {
      return taken;
    }
    String firstMember = first.map(MembershipUpdate::member).orElse("");
    int maxTransmissions = maxTransmissions(clusterSize);
    List<QueuedUpdate> order = new ArrayList<>(queue.values());
    order.sort(LEAST_SENT_THEN_NEWEST);
    for (QueuedUpdate queued : order) {
      int updateBytes = sizes.updateBytes(queued.update);
      if (updateBytes > leftBytes) {
        break;
      }
      if (queued.update.member().equals(firstMember)) {
        continue;
      }
      taken.add(queued.update);
      leftBytes -= updateBytes;
      if (++queued.transmissions >= maxTransmissions) {
        queue.remove(queued.update.member());
      }
    }
    return taken;
  }

  /** How often an update is sent in a cluster of that size: logarithmic, as in SWIM. */
  static int maxTransmissions(int clusterSize) {
    return (int) Math.ceil(TRANSMISSIONS_PER_DOUBLING * (Math.log(clusterSize + 1) / Math.log(2)));
  }

  int size() {
    return queue.size();
  }
}
