package reachloom.discovery;

import java.util.SplittableRandom;

/**
 * One gateway's watch over a log of numbered changes: what is taken of what it says, when it counts
 * as dead, and when it is dialled again. The list held never goes back: events at or below the last
 * one held change nothing, and a log that has left events out is asked for all it has, which counts
 * only once it has told as far as was seen. Times are nanoseconds.
 */
public final class EndpointWatch {
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** The log says something each second, by the protocol. */
  private static final long FRAME = 1_000 * MILLISECOND;

  /**
   * So long without a frame and the watch is dead, though nothing broke: two frames may be late,
   * and of the 7 s after which all counts as told enough is left for three dials that fail and the
   * list itself.
   */
  public static final long MAX_SILENCE = 5 * FRAME / 2;

  /** Reaching the log takes no longer where it can be reached: half of a frame. */
  public static final long DIAL_TIMEOUT = FRAME / 2;

  /**
   * What a log holds follows the question at once: it has told all once it is quiet for so long.
   */
  public static final long QUIET = FRAME / 10;

  /** A start does not wait longer for the log: one that is away must not keep a gateway away. */
  public static final long LONGEST_START = 400 * MILLISECOND;

  /**
   * A gateway is ready by then whatever it still waits for, counted from its program's first line:
   * of the 10 s in which nine in ten have to be, 2 s stay for the virtual machine's own start.
   */
  public static final long LATEST_READY = 8_000 * MILLISECOND;

  private static final long FIRST_PAUSE = 100 * MILLISECOND;

  /** Short beside the 2 s within which a gateway has to find a log again that broke off. */
  private static final long LONGEST_PAUSE = 400 * MILLISECOND;

  /**
   * Frames that say nothing new, in an answer that should tell all: it has ended, and may be short.
   */
  private static final int MAX_QUIET = 2;

  /** What is to be done with a frame. */
  public enum Verdict {
    /** Nothing: a sign of life, or an event known before. */
    SKIP,
    /** It follows what is held. */
    TAKE,
    /** Events before it are missing: the log is asked again, for all of them. */
    MISSED,
    /** A part of all of them: it is kept until the rest is there. */
    FOLD,
    /** The last part: what was kept, and this one, is the whole list. */
    WHOLE
  }

  private final SplittableRandom random;
  private long last;
  private long pause = FIRST_PAUSE;

  /** The number that an answer that tells all has to reach, or -1 where none is awaited. */
  private long wanted = -1;

  private long folded;
  private int quiet;

  /**
   * The log itself leaves numbers out: one that does not follow the last one tells of none missed.
   */
  private boolean sparse;

  /** A watch that holds what the event of that number told. */
  public EndpointWatch(long last, long seed) {
    this.last = last;
    random = new SplittableRandom(seed);
  }

  /** The number of the last event held. */
  public long last() {
    return last;
  }

  /** The number after which the log is asked. */
  public long askAfter() {
    return wanted < 0 ? last : 0;
  }

  /** A connection is asked anew: parts kept of an answer before it count no more. */
  public void asked() {
    folded = 0;
    quiet = 0;
  }

  /**
   * Another source told the list as it was at that number; false where it is older than what is
   * held.
   */
  public boolean toldElsewhere(long number) {
    boolean newer = number > last;
    last = Math.max(last, number);
    if (last >= wanted) {
      wanted =
          -1; // nothing is missing up to there, and all of them as they were before would go back
    }
    return newer;
  }

  /** Takes a frame. */
  public Verdict heard(long number, boolean whole, boolean nothing) {
    pause = FIRST_PAUSE;
    if (wanted >= 0) {
      return partOfAll(number, nothing);
    }
    if (nothing || number <= last) {
      return Verdict.SKIP;
    }
    if (!whole && !sparse && number > last + 1) {
      wanted = number;
      return Verdict.MISSED;
    }
    last = number;
    return Verdict.TAKE;
  }

  private Verdict partOfAll(long number, boolean nothing) {
    if (nothing) {
      if (++quiet >= MAX_QUIET) { // it does not hold what it told before: the list held stays
        wanted = -1;
        sparse = true;
      }
      return Verdict.SKIP;
    }
    if (number <= folded) {
      return Verdict.SKIP;
    }
    sparse |= folded > 0 && number > folded + 1;
    folded = number;
    if (number < wanted) {
      return Verdict.FOLD;
    }
    wanted = -1;
    last = number;
    return Verdict.WHOLE;
  }

  /**
   * The wait before the next dial: longer each time, half of it by chance, so that not all come
   * together.
   */
  public long pause() {
    long now = pause;
    pause = Math.min(LONGEST_PAUSE, pause * 2);
    return now / 2 + random.nextLong(now / 2 + 1);
  }

  /** The log has another address: it is dialled as at the first time. */
  public void moved() {
    pause = FIRST_PAUSE;
  }
}
