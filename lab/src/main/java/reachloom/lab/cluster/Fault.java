package reachloom.lab.cluster;

/**
 * One fault of a script. Times are in seconds.
 *
 * @param at when the fault begins
 * @param who the kind of component that it affects
 * @param kind what happens to the component
 * @param share the fraction of the components that it affects
 * @param zone the zone whose components it affects; -1 for all zones
 * @param far the engines' zone of an affected link; -1 for the links between the zone and all
 *     others, or for all links if {@code zone} is -1 as well
 * @param by the kind's parameter: the factor by which engines slow down, the share of errors, the
 *     factor on the load, the delay in milliseconds, the maximum number of connections of an
 *     engine, the number of control machines lost, the number of configuration changes issued one
 *     after another, the failing calls per thousand, or the seconds by which a wall clock is
 *     stepped
 * @param lasts how long it lasts for each component; a wall clock stays stepped if this is 0
 * @param within the time over which gateways are affected, engines replaced or configuration
 *     changes issued, one after another
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
  /** The component that a fault affects. */
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

  /**
   * What a fault does. Of those whose names say little: {@code CROWD} limits the connections that
   * an engine accepts; {@code LATE} delays the events of the endpoint list; {@code STALE} holds
   * them back; {@code DOWN} also makes the list unreachable; {@code PART} cuts the links between
   * regions and the list beyond the first region; {@code LOSE} kills control machines; {@code
   * TERMINATE_IN_USE} terminates a gateway whose clients keep using their connections, and kills it
   * as early as the platform does; {@code HANG_UP} makes a gateway read its configuration again.
   */
  public enum Kind {
    KILL(Who.GATEWAYS),
    TERMINATE(Who.GATEWAYS),
    TERMINATE_IN_USE(Who.GATEWAYS),
    HANG_UP(Who.GATEWAYS),
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

  /** Returns whether the fault steps wall clocks, which only processes have. */
  boolean ofClocks() {
    return kind == Kind.CLOCK_FORWARD || kind == Kind.CLOCK_BACK;
  }

  /** Returns whether the fault makes system calls fail, which only processes make. */
  boolean ofCalls() {
    return kind == Kind.FAIL_CALLS;
  }

  /**
   * Returns whether the fault needs a whole installation, with regions, control machines and a
   * configuration source.
   */
  public boolean ofInstallation() {
    return who == Who.REGIONS || who == Who.CONTROL || who == Who.CONFIGURATION;
  }

  long start() {
    return nanos(at);
  }

  /** Returns how long the fault lasts, in nanoseconds. */
  public long length() {
    return nanos(lasts);
  }

  /** Returns the time over which the components are affected one after another, in nanoseconds. */
  public long spread() {
    return nanos(within);
  }
}
