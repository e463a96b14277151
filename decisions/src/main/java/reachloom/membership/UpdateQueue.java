package reachloom.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * News on its way round, the latest of each member. Each piece goes out a bounded number of times;
 * what has gone out least goes first, and of equals the newest. With the table full, the oldest
 * yields.
 */
final class UpdateQueue {
  private static final int MOST = 1024; // members with news at one time
  private static final double SPREAD =
      3; // times that news goes out, for each doubling of the members

  private static final class Rumour {
    private final MembershipUpdate news;
    private final long number;
    private int sent;

    Rumour(MembershipUpdate news, long number) {
      this.news = news;
      this.number = number;
    }
  }

  private final Map<String, Rumour> rumours = new LinkedHashMap<>();
  private long count;

  /** Takes news that is to get round, in the place of older news of the same member. */
  void add(MembershipUpdate news) {
    rumours.remove(news.member());
    if (rumours.size() >= MOST) {
      rumours.remove(rumours.keySet().iterator().next());
    }
    rumours.put(news.member(), new Rumour(news, count++));
  }

  /**
   * News for one packet of no more than {@code room} bytes, the given piece first where there is
   * one.
   */
  List<MembershipUpdate> take(MembershipUpdate first, int members, int room, WireSizes weights) {
    List<MembershipUpdate> taken = new ArrayList<>();
    int left = room;
    if (first != null && weights.updateBytes(first) <= left) {
      taken.add(first);
      left -= weights.updateBytes(first);
    }
    if (rumours.isEmpty()) {
      return taken;
    }
    int most = maxTransmissions(members);
    List<Rumour> order = new ArrayList<>(rumours.values());
    order.sort(Comparator.<Rumour>comparingInt(r -> r.sent).thenComparingLong(r -> -r.number));
    for (Rumour r : order) {
      int size = weights.updateBytes(r.news);
      if (size > left) {
        break;
      }
      if (first != null && r.news.member().equals(first.member())) {
        continue;
      }
      taken.add(r.news);
      left -= size;
      if (++r.sent >= most) {
        rumours.remove(r.news.member());
      }
    }
    return taken;
  }

  static int maxTransmissions(int members) {
    return (int) Math.ceil(SPREAD * (Math.log(members + 1) / Math.log(2)));
  }

  int size() {
    return rumours.size();
  }
}
