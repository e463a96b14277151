package reachloom.lab.rig;

/**
 * One line of a script: at that time, in seconds, it begins for a share of those it may meet, in one zone or,
 * for -1, in all. What {@code by} says depends on the kind: times slower, share of errors, times the load,
 * milliseconds of delay, connections that an engine holds at most. Times are in seconds.
 */
public record Trouble(double at, Who who, Kind kind, double share, int zone, int far, double by, double lasts,
    double within) {
  /** Whom it meets. */
  public enum Who { GATEWAYS, ENGINES, LINK, LIST, LOAD }

  /** What it does. */
  public enum Kind {
    KILL(Who.GATEWAYS), TERMINATE(Who.GATEWAYS), HALT(Who.GATEWAYS), HANG(Who.ENGINES), ERR(Who.ENGINES),
    SLOW(Who.ENGINES), CRASH(Who.ENGINES), REPLACE(Who.ENGINES), CROWD(Who.ENGINES),
    DELAY(Who.LINK), RESET(Who.LINK),
        CUT(Who.LINK),
    CUT_OUT(Who.LINK), CUT_IN(Who.LINK), LATE(Who.LIST), STALE(Who.LIST), DOWN(Who.LIST), SURGE(Who.LOAD);

    final Who who;

    Kind(Who who) {
      this.who = who;
    }
  }

  private static long nanos(double seconds) {
    return (long) (seconds * Plan.SECOND);
  }

  long start() {
    return nanos(at);
  }

  long length() {
    return nanos(lasts);
  }

  long spread() {
    return nanos(within);
  }
}
