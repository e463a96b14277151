package reachloom.discovery;

import java.util.SplittableRandom;

/**
 * The watch of one gateway on a change log of numbered list events: which events to apply, when the
 * connection counts as dead, and when to reconnect. The list never goes back: events up to the last
 * one applied are ignored. If events are missing, the complete list is requested from the log and
 * applied only when it has reached the event that showed the gap. Times are nanoseconds.
 */
public final class EndpointWatch {
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  /** Interval at which the log sends at least a heartbeat, by the protocol. */
  private static final long HEARTBEAT_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLISECOND;

  /**
   * Time without a frame after which the connection counts as dead: two frames may be late, and of
   * the 7 s within which the list has to be complete enough is left for three failed connects.
   */
  public static final long MAX_SILENCE_NANOS = 5 * HEARTBEAT_INTERVAL_NANOS / 2;

  /** Timeout of a connect. */
  public static final long CONNECT_TIMEOUT_NANOS = HEARTBEAT_INTERVAL_NANOS / 2;

  /**
   * Time without a frame after which the answer to a request is complete, since the log sends all
   * stored events without a pause.
   */
  public static final long CATCH_UP_QUIET_NANOS = HEARTBEAT_INTERVAL_NANOS / 10;

  /** Maximum time that a start waits for the log, so that a log that is down hardly delays it. */
  public static final long MAX_CATCH_UP_NANOS = 400 * NANOS_PER_MILLISECOND;

  /**
   * Maximum time from the start of the program until a gateway is ready, whatever it still waits
   * for: of the 10 s allowed, 2 s remain for the start of the virtual machine.
   */
  public static final long MAX_START_NANOS = 8_000 * NANOS_PER_MILLISECOND;

  private static final long MIN_BACKOFF_NANOS = 100 * NANOS_PER_MILLISECOND;

  /** Short compared with the 2 s within which a gateway has to reconnect to a log. */
  private static final long MAX_BACKOFF_NANOS = 400 * NANOS_PER_MILLISECOND;

  /**
   * Heartbeats since a request after which the answer with the complete list has ended, even if the
   * list does not reach the awaited event.
   */
  private static final int MAX_HEARTBEATS_IN_ANSWER = 2;

  /** How the gateway has to handle a frame. */
  public enum FrameAction {
    /** Ignore the frame: it is a heartbeat, or an event that was applied before. */
    IGNORE,
    /** Apply the event: it is the next one, the log skips numbers, or it has the complete list. */
    APPLY,
    /** Request the complete list from the log, since events are missing before this one. */
    REQUEST_COMPLETE_LIST,
    /** Buffer the event: it is a part of the complete list. */
    BUFFER,
    /** Apply the buffered events together with this last part as the complete list. */
    APPLY_BUFFERED
  }

  private final SplittableRandom random;
  private long lastApplied;
  private long backoffNanos = MIN_BACKOFF_NANOS;

  /** The event number that the complete list has to reach, or -1 if no list is awaited. */
  private long awaitedNumber = -1;

  /** The number of the last event buffered from the current answer; 0 if there is none. */
  private long lastBuffered;

  private int heartbeatsInAnswer;

  /** Whether the log itself skips numbers, so that a gap does not mean that events are missing. */
  private boolean logSkipsNumbers;

  /**
   * Creates a watch.
   *
   * @param lastEventNumber the number of the last event applied
   * @param seed seeds the jitter of the backoff
   */
  public EndpointWatch(long lastEventNumber, long seed) {
    lastApplied = lastEventNumber;
    random = new SplittableRandom(seed);
  }

  /** The number of the last event applied. */
  public long lastEventNumber() {
    return lastApplied;
  }

  /** The number after which to request events; 0 requests the complete list. */
  public long requestAfter() {
    return awaitedNumber < 0 ? lastApplied : 0;
  }

  /** A request was sent on a new connection; buffered parts of earlier answers are dropped. */
  public void onRequestSent() {
    lastBuffered = 0;
    heartbeatsInAnswer = 0;
  }

  /**
   * Handles a complete list from a source other than the log.
   *
   * @param number the number of the last event that the list contains
   * @return whether the list is newer than the one applied
   */
  public boolean onCompleteList(long number) {
    boolean newer = number > lastApplied;
    lastApplied = Math.max(lastApplied, number);
    if (lastApplied >= awaitedNumber) {
      awaitedNumber = -1; // no event is missing; applying the awaited list would go back
    }
    return newer;
  }

  /**
   * Handles a frame of the log.
   *
   * @param number the frame's event number
   * @param isComplete whether the event has the complete list
   */
  public FrameAction onFrame(long number, boolean isComplete, boolean isHeartbeat) {
    backoffNanos = MIN_BACKOFF_NANOS;
    if (awaitedNumber >= 0) {
      return onPartOfCompleteList(number, isHeartbeat);
    }
    if (isHeartbeat || number <= lastApplied) {
      return FrameAction.IGNORE;
    }
    if (!isComplete && !logSkipsNumbers && number > lastApplied + 1) {
      awaitedNumber = number;
      return FrameAction.REQUEST_COMPLETE_LIST;
    }
    lastApplied = number;
    return FrameAction.APPLY;
  }

  private FrameAction onPartOfCompleteList(long number, boolean isHeartbeat) {
    if (isHeartbeat) {
      if (++heartbeatsInAnswer >= MAX_HEARTBEATS_IN_ANSWER) {
        awaitedNumber = -1; // the log has lost events; the current list stays in use
        logSkipsNumbers = true;
      }
      return FrameAction.IGNORE;
    }
    if (number <= lastBuffered) {
      return FrameAction.IGNORE;
    }
    logSkipsNumbers |= lastBuffered > 0 && number > lastBuffered + 1;
    lastBuffered = number;
    if (number < awaitedNumber) {
      return FrameAction.BUFFER;
    }
    awaitedNumber = -1;
    lastApplied = number;
    return FrameAction.APPLY_BUFFERED;
  }

  /**
   * The time to wait before the next connect: exponential backoff with jitter of a half, so that
   * gateways do not reconnect together.
   */
  public long nextBackoffNanos() {
    long current = backoffNanos;
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, backoffNanos * 2);
    return current / 2 + random.nextLong(current / 2 + 1);
  }

  /** The log has a new address; backoff starts over. */
  public void onAddressChanged() {
    backoffNanos = MIN_BACKOFF_NANOS;
  }
}
