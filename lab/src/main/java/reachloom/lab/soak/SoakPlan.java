package reachloom.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import reachloom.lab.cluster.Fault;
import reachloom.lab.cluster.FaultSchedule;
import reachloom.standin.HostileClient.Behavior;

/**
 * What a run of the soak consists of, drawn by its seed: episodes of hostile clients, signals in
 * series, faults of engines, and in some runs a crowd of idle clients.
 *
 * @param seed the seed
 * @param episodes the episodes of hostile clients, by their starts
 * @param idleClients the idle clients that connect to each gateway at the start
 * @param faults the signals and the faults of engines
 */
record SoakPlan(long seed, List<Episode> episodes, int idleClients, FaultSchedule faults) {
  private static final double FIRST_EPISODE_S = 1;
  private static final double MIN_EPISODE_S = 2;
  private static final double MAX_EPISODE_S = 6;
  private static final double MIN_EPISODE_INTERVAL_S = 0.5;
  private static final double MAX_EPISODE_INTERVAL_S = 3;
  private static final double FIRST_SIGNALS_S = 2;
  private static final double MIN_SIGNALS_INTERVAL_S = 4;
  private static final double MAX_SIGNALS_INTERVAL_S = 8;
  private static final int MAX_SERIES = 4;
  private static final double MAX_SERIES_GAP_S = 0.4;
  private static final double MAX_PAUSE_S = 0.3;
  private static final double RESTART_S = 5;

  /** At most this many gateways of a series shut down; the others go on. */
  private static final int RESTARTS = 2;

  private static final int FAST_CLIENTS = 4;
  private static final int SLOW_CLIENTS = 60;
  private static final int FLOOD_CLIENTS = 6;
  private static final double CROWD_SHARE = 0.3;
  private static final int MIN_CROWD = 150;
  private static final int MAX_CROWD = 320;

  /**
   * Hostile clients of one gateway.
   *
   * @param atS when they begin, in seconds
   * @param lastsS for how long they send, in seconds
   * @param gateway the gateway to which they connect
   * @param behavior what they send
   * @param clients how many they are
   */
  record Episode(double atS, double lastsS, int gateway, Behavior behavior, int clients) {}

  /**
   * Draws a plan.
   *
   * @param seconds the seconds for which queries arrive; nothing begins later
   */
  static SoakPlan draw(long seed, int gateways, int seconds) {
    SplittableRandom random = new SplittableRandom(seed * 31 + 7);
    List<Episode> episodes = drawEpisodes(random, gateways, seconds);
    List<Fault> faults = new ArrayList<>();
    drawSignals(random, gateways, seconds, faults);
    drawEngineFaults(random, seconds, faults);
    int idleClients = 0;
    if (random.nextDouble() < CROWD_SHARE) {
      idleClients = random.nextInt(MIN_CROWD, MAX_CROWD);
    }
    return new SoakPlan(
        seed, episodes, idleClients, new FaultSchedule("soak-" + seed, List.copyOf(faults)));
  }

  private static List<Episode> drawEpisodes(SplittableRandom random, int gateways, int seconds) {
    List<Episode> episodes = new ArrayList<>();
    Behavior[] behaviors = Behavior.values();
    for (double at = FIRST_EPISODE_S; at < seconds; ) {
      Behavior behavior = behaviors[random.nextInt(behaviors.length)];
      int most =
          switch (behavior) {
            case HALF_REQUEST, SLOW_REQUEST -> SLOW_CLIENTS;
            case FLOOD_AND_LEAVE -> FLOOD_CLIENTS;
            default -> FAST_CLIENTS;
          };
      double lasts = between(random, MIN_EPISODE_S, MAX_EPISODE_S);
      int clients = 1 + random.nextInt(most);
      episodes.add(new Episode(at, lasts, random.nextInt(gateways), behavior, clients));
      at += between(random, MIN_EPISODE_INTERVAL_S, MAX_EPISODE_INTERVAL_S);
    }
    return List.copyOf(episodes);
  }

  private static void drawSignals(
      SplittableRandom random, int gateways, int seconds, List<Fault> faults) {
    double at = FIRST_SIGNALS_S;
    while (at < seconds) {
      double share = Math.min(1.0, RESTARTS / (double) gateways);
      int length = 1 + random.nextInt(MAX_SERIES);
      double signalAt = at;
      for (int i = 0; i < length; i++) {
        faults.add(drawSignal(random, signalAt, share));
        signalAt += random.nextDouble() * MAX_SERIES_GAP_S;
      }
      at += between(random, MIN_SIGNALS_INTERVAL_S, MAX_SIGNALS_INTERVAL_S);
    }
  }

  private static Fault drawSignal(SplittableRandom random, double at, double share) {
    return switch (random.nextInt(4)) {
      case 0 -> gatewayFault(at, Fault.Kind.HALT, share, random.nextDouble() * MAX_PAUSE_S);
      case 1 -> gatewayFault(at, Fault.Kind.TERMINATE_IN_USE, share, RESTART_S);
      default -> gatewayFault(at, Fault.Kind.HANG_UP, 1, 0);
    };
  }

  private static Fault gatewayFault(double at, Fault.Kind kind, double share, double lasts) {
    return new Fault(at, Fault.Who.GATEWAYS, kind, share, -1, -1, 1, lasts, 0);
  }

  private static void drawEngineFaults(SplittableRandom random, int seconds, List<Fault> faults) {
    double at = between(random, 1, MAX_SIGNALS_INTERVAL_S);
    while (at < seconds) {
      Fault.Kind kind =
          switch (random.nextInt(3)) {
            case 0 -> Fault.Kind.HANG;
            case 1 -> Fault.Kind.SLOW;
            default -> Fault.Kind.REPLACE;
          };
      double lasts = kind == Fault.Kind.REPLACE ? 0 : between(random, 1, MIN_EPISODE_S);
      faults.add(new Fault(at, Fault.Who.ENGINES, kind, 0.1, -1, -1, 2, lasts, 1));
      at += between(random, MIN_SIGNALS_INTERVAL_S, MAX_SIGNALS_INTERVAL_S);
    }
  }

  private static double between(SplittableRandom random, double min, double max) {
    return min + random.nextDouble() * (max - min);
  }
}
