package reachloom.lab.cluster;

/**
 * One line of a script: at that time, in seconds, it begins for a share of those it may meet, in
 * one zone or, for -1, in all. What {@code by} says depends on the kind: times slower, share of
 * errors, times the load, milliseconds of delay, connections that an engine holds at most, control
 * machines lost, changes of configuration issued one after another, seconds that a wall clock is
 * stepped by. Times are in seconds.
 */
public record Fault(
    double at,
    Who who,
    Kind kind,
    double share,
    int zone,
    int far,
    double by,
    double lasts,
    double within) {
  /** Whom it meets. */
  public enum Who {
    GATEWAYS,
    ENGINES,
    LINK,
    LIST,
    LOAD,
    REGIONS,
    CONTROL,
    CONFIGURATION
  }

  /** What it does. */
  public enum Kind {
    KILL(Who.GATEWAYS),
    TERMINATE(Who.GATEWAYS),
    HALT(Who.GATEWAYS),
    HANG(Who.ENGINES),
    ERR(Who.ENGINES),
    SLOW(Who.ENGINES),
    CRASH(Who.ENGINES),
    REPLACE(Who.ENGINES),
    CROWD(Who.ENGINES),
    DELAY(Who.LINK),
    RESET(Who.LINK),
    CUT(Who.LINK),
    CUT_OUT(Who.LINK),
    CUT_IN(Who.LINK),
    LATE(Who.LIST),
    STALE(Who.LIST),
    DOWN(Who.LIST),
    SURGE(Who.LOAD),
    PART(Who.REGIONS),
    LOSE(Who.CONTROL),
    ISSUE(Who.CONFIGURATION),
    CLOCK_FORWARD(Who.GATEWAYS),
    CLOCK_BACK(Who.GATEWAYS),
    FAIL_CALLS(Who.GATEWAYS);

    final Who who;

    Kind(Who who) {
      this.who = who;
    }
  }

  private static long nanos(double seconds) {
    return (long) (seconds * ClusterPlan.SECOND);
  }

  /** Whether it steps wall clocks, which only processes have. */
  boolean ofClocks() {
    return kind == Kind.CLOCK_FORWARD || kind == Kind.CLOCK_BACK;
  }

  /** Whether it lets system calls fail, which only processes make. */
  boolean ofCalls() {
    return kind == Kind.FAIL_CALLS;
  }

  /**
   * Whether only a whole installation can play it: regions, control machines, a source of
   * configuration.
   */
  public boolean ofInstallation() {
    return who == Who.REGIONS || who == Who.CONTROL || who == Who.CONFIGURATION;
  }

  long start() {
    return nanos(at);
  }

  /** How long it lasts, in nanoseconds. */
  public long length() {
    return nanos(lasts);
  }

  /** Within what time it has met all, in nanoseconds. */
  public long spread() {
    return nanos(within);
  }
}
