package reachloom.discovery;

import java.util.SplittableRandom;

/**
 * The watch of one gateway on a change log of numbered list events: which events to apply, when the
 * connection counts as dead, and when to reconnect. The list never goes back: events up to the last
 * one applied are ignored. If events are missing, the log is asked for its complete list, which is
 * applied only when it has reached the event that showed the gap. Times are nanoseconds.
 */
public final class EndpointWatch {
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** Interval at which the log sends at least a heartbeat, by the protocol. */
  private static final long FRAME = 1_000 * MILLISECOND;

  /**
   * Time without a frame after which the connection counts as dead: two frames may be late, and of
   * the 7 s within which the list has to be complete enough is left for three failed connects.
   */
  public static final long MAX_SILENCE_NANOS = 5 * FRAME / 2;

  /** Timeout of a connect. */
  public static final long CONNECT_TIMEOUT_NANOS = FRAME / 2;

  /**
   * Time without a frame after which the answer to a request is complete, since all stored events
   * follow it at once.
   */
  public static final long CATCH_UP_QUIET_NANOS = FRAME / 10;

  /** Maximum time that a start waits for the log, so that a log that is down delays no gateway. */
  public static final long MAX_CATCH_UP_NANOS = 400 * MILLISECOND;

  /**
   * Maximum time from the start of the program until a gateway is ready, whatever it still waits
   * for: of the 10 s allowed, 2 s remain for the start of the virtual machine.
   */
  public static final long MAX_START_NANOS = 8_000 * MILLISECOND;

  private static final long MIN_BACKOFF = 100 * MILLISECOND;

  /** Short compared with the 2 s within which a gateway has to reconnect to a log. */
  private static final long MAX_BACKOFF = 400 * MILLISECOND;

  /**
   * Consecutive heartbeats after which an answer with the complete list has ended, even if it is
   * too short.
   */
  private static final int MAX_HEARTBEATS_IN_ANSWER = 2;

  /** What to do with a frame. */
  public enum FrameAction {
    /** Nothing: a heartbeat, or an event that was applied before. */
    IGNORE,
    /** Apply it: it is the next event. */
    APPLY,
    /** Ask the log for the complete list, since events are missing before it. */
    REQUEST_COMPLETE_LIST,
    /** Buffer it: it is a part of the complete list. */
    BUFFER,
    /** Apply what was buffered, with this last part, as the complete list. */
    APPLY_BUFFERED
  }

  private final SplittableRandom random;
  private long last;
  private long backoff = MIN_BACKOFF;

  /** The number that the complete list has to reach, or -1 if none is awaited. */
  private long wanted = -1;

  private long folded;
  private int quiet;

  /**
   * Whether the log itself leaves out numbers, so that a gap does not mean that events are missing.
   */
  private boolean sparse;

  /** Creates a watch that has applied events up to the given number; the seed is for backoff. */
  public EndpointWatch(long last, long seed) {
    this.last = last;
    random = new SplittableRandom(seed);
  }

  /** The number of the last event applied. */
  public long lastEventNumber() {
    return last;
  }

  /** The number after which to request events; 0 requests the complete list. */
  public long requestAfter() {
    return wanted < 0 ? last : 0;
  }

  /** A request was sent on a new connection; buffered parts of earlier answers are dropped. */
  public void onRequestSent() {
    folded = 0;
    quiet = 0;
  }

  /**
   * Another source supplied the complete list as of the given number; false if that is older than
   * the list applied.
   */
  public boolean onCompleteList(long number) {
    boolean newer = number > last;
    last = Math.max(last, number);
    if (last >= wanted) {
      wanted = -1; // nothing is missing up to there; applying the awaited list would go back
    }
    return newer;
  }

  /** Handles a frame: its event number, whether it has the complete list, or is a heartbeat. */
  public FrameAction onFrame(long number, boolean whole, boolean nothing) {
    backoff = MIN_BACKOFF;
    if (wanted >= 0) {
      return onPartOfCompleteList(number, nothing);
    }
    if (nothing || number <= last) {
      return FrameAction.IGNORE;
    }
    if (!whole && !sparse && number > last + 1) {
      wanted = number;
      return FrameAction.REQUEST_COMPLETE_LIST;
    }
    last = number;
    return FrameAction.APPLY;
  }

  private FrameAction onPartOfCompleteList(long number, boolean nothing) {
    if (nothing) {
      if (++quiet >= MAX_HEARTBEATS_IN_ANSWER) { // the log has lost events; the current list stays
        wanted = -1;
        sparse = true;
      }
      return FrameAction.IGNORE;
    }
    if (number <= folded) {
      return FrameAction.IGNORE;
    }
    sparse |= folded > 0 && number > folded + 1;
    folded = number;
    if (number < wanted) {
      return FrameAction.BUFFER;
    }
    wanted = -1;
    last = number;
    return FrameAction.APPLY_BUFFERED;
  }

  /**
   * The time to wait before the next connect: exponential backoff with jitter of a half, so that
   * gateways do not reconnect together.
   */
  public long nextBackoffNanos() {
    long current = backoff;
    backoff = Math.min(MAX_BACKOFF, backoff * 2);
    return current / 2 + random.nextLong(current / 2 + 1);
  }

  /** The log has a new address; backoff starts over. */
  public void onAddressChanged() {
    backoff = MIN_BACKOFF;
  }
}
