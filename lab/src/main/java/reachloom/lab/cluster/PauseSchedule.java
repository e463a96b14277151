package reachloom.lab.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws scripts in which gateways are suspended again and again, each at a time of its own or a
 * zone's together, while engines fail and are replaced, gateways restart and the endpoint list is
 * late. The same seed gives the same script.
 */
public final class PauseSchedule {
  /** The name under which commands offer these scripts. */
  public static final String NAME = "pauses";

  private static final double FIRST_FAULT_S = 1;
  private static final double MIN_PAUSE_S = 1.4;
  private static final double MAX_PAUSE_S = 2.0;
  private static final double MIN_PERIOD_S = 2.2;
  private static final double MAX_PERIOD_S = 3.5;
  private static final double MIN_SHARE = 0.3;
  private static final double MAX_SHARE = 0.9;
  private static final double MIN_OTHER_INTERVAL_S = 1.5;
  private static final double MAX_OTHER_INTERVAL_S = 4;

  /** The faults beside the pauses. */
  private enum Other {
    HUNG_ENGINES,
    FAILING_ENGINES,
    SLOW_ENGINES,
    REPLACED_ENGINES,
    KILLED_GATEWAYS,
    RESTARTED_GATEWAYS,
    LATE_LIST
  }

  private final SplittableRandom random;
  private final List<Fault> faults = new ArrayList<>();

  private PauseSchedule(long seed) {
    random = new SplittableRandom(seed);
  }

  /**
   * Draws a script.
   *
   * @param seconds the seconds for which queries arrive; no fault begins later
   * @param zones the number of zones
   */
  public static FaultSchedule draw(long seed, int seconds, int zones) {
    PauseSchedule drawn = new PauseSchedule(seed);
    drawn.drawPauses(seconds, zones);
    drawn.drawOthers(seconds);
    return new FaultSchedule(NAME + "-" + seed, List.copyOf(drawn.faults));
  }

  private void drawPauses(int seconds, int zones) {
    boolean zonesTogether = random.nextBoolean();
    double share = between(MIN_SHARE, MAX_SHARE);
    for (double at = FIRST_FAULT_S; at < seconds; ) {
      double period = between(MIN_PERIOD_S, MAX_PERIOD_S);
      double length = between(MIN_PAUSE_S, MAX_PAUSE_S);
      int zone = zonesTogether ? random.nextInt(zones) : -1;
      double spread = zonesTogether ? 0 : period - length;
      add(at, Fault.Who.GATEWAYS, Fault.Kind.HALT, share, zone, 1, length, spread);
      at += period;
    }
  }

  private void drawOthers(int seconds) {
    Other[] kinds = Other.values();
    double at = FIRST_FAULT_S;
    while (at < seconds) {
      addOther(kinds[random.nextInt(kinds.length)], at);
      at += between(MIN_OTHER_INTERVAL_S, MAX_OTHER_INTERVAL_S);
    }
  }

  private void addOther(Other other, double at) {
    double length = between(1, 4);
    switch (other) {
      case HUNG_ENGINES ->
          add(at, Fault.Who.ENGINES, Fault.Kind.HANG, between(0.1, 0.3), -1, 1, length, 0);
      case FAILING_ENGINES ->
          add(at, Fault.Who.ENGINES, Fault.Kind.ERR, 0.3, -1, between(0.2, 0.9), length, 0);
      case SLOW_ENGINES ->
          add(at, Fault.Who.ENGINES, Fault.Kind.SLOW, 0.2, -1, between(2, 5), length, 0);
      case REPLACED_ENGINES ->
          add(at, Fault.Who.ENGINES, Fault.Kind.REPLACE, 0.1, -1, 1, 0, between(0.5, 2));
      case KILLED_GATEWAYS ->
          add(at, Fault.Who.GATEWAYS, Fault.Kind.KILL, 0.1, -1, 1, between(0.2, 2), 0);
      case RESTARTED_GATEWAYS ->
          add(at, Fault.Who.GATEWAYS, Fault.Kind.TERMINATE, 0.1, -1, 1, between(4, 6), 0);
      case LATE_LIST ->
          add(at, Fault.Who.LIST, Fault.Kind.LATE, 1, -1, between(100, 1_500), length, 0);
    }
  }

  private void add(
      double at,
      Fault.Who who,
      Fault.Kind kind,
      double share,
      int zone,
      double by,
      double lasts,
      double within) {
    faults.add(new Fault(at, who, kind, share, zone, -1, by, lasts, within));
  }

  private double between(double min, double max) {
    return min + random.nextDouble() * (max - min);
  }
}
