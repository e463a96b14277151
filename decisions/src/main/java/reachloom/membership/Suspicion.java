package reachloom.membership;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The time that a suspected member has to object. It starts long, and each further independent
 * accuser shortens it, down to a least time that is enough for a refutation to get round
 * (Lifeguard, section IV-B).
 */
final class Suspicion {
  // periods for each decade of members; what follows, the last questions, makes up for memberlist's
  // fourth
  private static final double MIN_FACTOR = 3;
  private static final double MAX_FACTOR = 6; // ... and the longest time in least times
  private static final int ACCUSERS = 2; // further accusers that shorten it to the least

  private final Set<String> accusers = new LinkedHashSet<>();
  private final long least;
  private long startedAt;
  private int lastAsks;
  private long askedUntil;

  Suspicion(long now, long period, int members, String accuser) {
    startedAt = now;
    least = (long) (MIN_FACTOR * Math.max(1, Math.log10(Math.max(1, members))) * period);
    accusers.add(accuser);
  }

  /**
   * Takes one more accuser; true where it is a new one that counts, so that its word is passed on.
   */
  boolean confirm(String accuser) {
    return accusers.size() <= ACCUSERS && accusers.add(accuser);
  }

  /** Nothing of a standstill of this process counts against the member. */
  void shift(long by) {
    startedAt += by;
  }

  /** When its time is up. */
  long until() {
    double part = Math.log(accusers.size()) / Math.log(ACCUSERS + 1);
    long time = startedAt + (long) (least * (MAX_FACTOR - (MAX_FACTOR - 1) * part));
    return Math.max(time, askedUntil);
  }

  /** It has been asked once more, and has until then to answer. */
  void asked(long until) {
    lastAsks++;
    askedUntil = until;
  }

  int lastAsks() {
    return lastAsks;
  }

  long least() {
    return least;
  }
}
