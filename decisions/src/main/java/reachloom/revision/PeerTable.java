package reachloom.revision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Who else is there, what each is known to have, and who is not asked for a while. */
final class PeerTable {
  /** Another member that is present, with what its packets told. */
  static final class Other {
    final Peer peer;
    long heardAt = Long.MIN_VALUE / 2;
    long known;
    long inForce;
    long mark;

    /** The newest revision that was sent to it, and when. */
    long told;

    long toldAt = Long.MIN_VALUE / 2;

    /** How often it was reminded of the newest without a word of it. */
    int reminders;

    Other(Peer peer) {
      this.peer = peer;
    }
  }

  /** What is held against another. */
  enum Strike {
    /** It did not answer; a packet may have been lost, or it has much to do. */
    SILENT,
    /** It did not prove what it claims; its rest doubles. */
    UNPROVED,
    /** What it sent is not so; its rest doubles, and it is not heard either. */
    LIED
  }

  private static final class Rest {
    private long until;
    private int strikes;
    private long claimed;
    private boolean lied;
  }

  private static final int MAX_OTHERS = 2_048; // as many as the table of members holds
  private static final int MAX_RESTING = 256;
  private static final long SECOND = 1_000_000_000; // nanoseconds
  private static final long REST =
      2 * SECOND; // after the first strike; an honest one had a packet lost
  private static final int MAX_DOUBLINGS = 8; // 512 s

  private final int place;
  private final Set<String> issuers = new TreeSet<>();
  private final List<Peer> otherIssuers;
  private final SplittableRandom random;
  private TreeMap<String, Other> others = new TreeMap<>();
  private final TreeMap<Integer, List<Other>> places = new TreeMap<>();
  private final TreeMap<String, Rest> resting = new TreeMap<>();

  PeerTable(String name, int place, List<Peer> issuers, SplittableRandom random) {
    otherIssuers = issuers.stream().filter(i -> !i.name().equals(name)).toList();
    this.place = place;
    issuers.forEach(i -> this.issuers.add(i.name()));
    this.random = random;
  }

  void present(Collection<Peer> present) {
    TreeMap<String, Other> now = new TreeMap<>();
    places.clear();
    for (Peer p : present) {
      if (now.size() >= MAX_OTHERS) {
        break;
      }
      Other old = others.get(p.name());
      Other o = old != null && old.peer.equals(p) ? old : new Other(p);
      now.put(p.name(), o);
      if (!issuers.contains(p.name())) {
        places.computeIfAbsent(p.place(), k -> new ArrayList<>()).add(o);
      }
    }
    others = now;
  }

  boolean isIssuer(String name) {
    return issuers.contains(name);
  }

  boolean isOfZone(Peer p) {
    return p.place() == place && !isIssuer(p.name());
  }

  /** Another issuer that may be asked, by chance, or null. */
  Peer anIssuer(long now) {
    List<Peer> open = otherIssuers.stream().filter(i -> !rests(now, i.name())).toList();
    return open.isEmpty() ? null : open.get(random.nextInt(open.size()));
  }

  /** All that are present. */
  Collection<Other> all() {
    return others.values();
  }

  /** The member of that name, if it is present; else null. */
  Other get(String name) {
    return others.get(name);
  }

  /** The members of the own place, this one and issuers not among them. */
  List<Other> zone() {
    return places.getOrDefault(place, List.of());
  }

  /** The members by place, issuers not among them. */
  Map<Integer, List<Other>> places() {
    return places;
  }

  /** Some of those, drawn by chance. */
  List<Other> draw(Collection<Other> of, int count, Predicate<Other> wanted) {
    List<Other> open = new ArrayList<>(of.size());
    for (Other o : of) {
      if (wanted.test(o)) {
        open.add(o);
      }
    }
    List<Other> drawn = new ArrayList<>();
    while (drawn.size() < count && !open.isEmpty()) {
      int last = open.size() - 1;
      Collections.swap(open, random.nextInt(last + 1), last);
      drawn.add(open.remove(last));
    }
    return drawn;
  }

  /**
   * That one did not do as it said and is not asked for a time; {@code claimed}: what it did not
   * prove.
   */
  void strike(long now, String name, Strike why, long claimed) {
    Rest r = resting.get(name);
    if (r == null) {
      if (resting.size() >= MAX_RESTING) {
        resting.remove(
            Collections.min(
                    resting.entrySet(),
                    (a, b) -> Long.compare(a.getValue().until, b.getValue().until))
                .getKey());
      }
      r = new Rest();
      resting.put(name, r);
    }
    r.until = Math.max(r.until, now + (REST << Math.min(r.strikes, MAX_DOUBLINGS)));
    r.strikes += why == Strike.SILENT ? 0 : 1;
    r.lied |= why == Strike.LIED;
    r.claimed = Math.max(r.claimed, claimed);
  }

  /**
   * That one has sent what belongs to that revision; if late, so that it is forgiven, lies are not.
   */
  void good(String name, long number) {
    Rest r = resting.get(name);
    if (r != null && !r.lied && number >= r.claimed) {
      resting.remove(name);
    }
  }

  boolean rests(long now, String name) {
    Rest r = resting.get(name);
    return r != null && now < r.until;
  }

  boolean isLiar(long now, String name) {
    return rests(now, name) && resting.get(name).lied;
  }

  /** After a standstill the time that passed is nobody's. */
  void shift(long by) {
    resting.values().forEach(r -> r.until += by);
  }

  List<String> resting(long now) {
    return resting.entrySet().stream()
        .filter(e -> now < e.getValue().until)
        .map(e -> e.getKey() + (e.getValue().lied ? " (told what is not so)" : ""))
        .toList();
  }
}
