package reachloom.lab.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import reachloom.standin.model.EngineModel;
import reachloom.standin.model.EngineModel.Condition;

/** Runs a script: injects each fault at its time, and ends it. */
public final class FaultInjector {
  /** Injects the faults that affect gateways. */
  public interface Gateways {
    /** Kills a gateway at once, without a shutdown. */
    void kill(int gateway);

    /** Requests a gateway's shutdown, as a planned restart does. */
    void terminate(int gateway);

    /**
     * Requests a gateway's shutdown while its clients go on using their connections to it; returns
     * false, without any effect, if the gateway or too many others are down.
     */
    default boolean terminateInUse(int gateway) {
      throw new IllegalStateException("only clients of processes go on using their connections");
    }

    /** Kills a gateway whose shutdown was requested, if its process has not ended by itself. */
    default void killTerminated(int gateway) {
      throw new IllegalStateException("only processes are killed after their shutdown");
    }

    /** Makes a gateway read its configuration again. */
    default void hangUp(int gateway) {
      throw new IllegalStateException("only processes are signalled");
    }

    /** Suspends a gateway, or resumes it. */
    void halt(int gateway, boolean now);

    /** Starts a gateway again under its name; does nothing if it runs. */
    void start(int gateway);

    /** Sets the offset of a gateway's wall clock from this machine's, in seconds. */
    default void stepClock(int gateway, double seconds) {
      throw new IllegalStateException("only gateways that are processes have wall clocks");
    }

    /** Sets how many in a thousand of a gateway's system calls on sockets fail. */
    default void failCalls(int gateway, int perThousand) {
      throw new IllegalStateException("only gateways that are processes make system calls");
    }
  }

  /** The platform kills a gateway no sooner than this after the request to shut down. */
  private static final long EARLIEST_KILL = 3_700 * ClusterPlan.MILLISECOND;

  private final ClusterModel model;
  private final int gatewayCount;
  private final Consumer<Fault> otherFaults;
  private final Gateways gateways;
  private final Workload workload;
  private final HistoryChecker checker;
  private final SplittableRandom random;

  /** Creates an injector for a cluster model and its gateways. */
  public FaultInjector(
      ClusterModel model, Gateways gateways, Workload workload, HistoryChecker checker) {
    this(
        model,
        model.plan.gateways(),
        gateways,
        workload,
        checker,
        fault -> {
          throw new IllegalStateException("this fleet cannot inject " + fault);
        });
  }

  /**
   * Creates an injector.
   *
   * @param gatewayCount the number of gateways that faults can affect
   * @param otherFaults injects the faults of regions, control machines and configuration
   */
  public FaultInjector(
      ClusterModel model,
      int gatewayCount,
      Gateways gateways,
      Workload workload,
      HistoryChecker checker,
      Consumer<Fault> otherFaults) {
    this.model = model;
    this.gatewayCount = gatewayCount;
    this.otherFaults = otherFaults;
    this.gateways = gateways;
    this.workload = workload;
    this.checker = checker;
    random = new SplittableRandom(model.plan.seed() * 17 + 3);
  }

  /** Schedules all faults of a script relative to a start time; none begins after the run's end. */
  public void play(FaultSchedule script, long start, BooleanSupplier isRunning) {
    for (Fault fault : script.faults()) {
      model.time.at(
          start + fault.start(),
          () -> {
            if (isRunning.getAsBoolean()) {
              begin(fault);
            }
          });
    }
  }

  private void schedule(long wait, Runnable action) {
    model.time.at(model.time.now() + wait, action);
  }

  private void begin(Fault fault) {
    switch (fault.who()) {
      case GATEWAYS -> injectIntoGateways(fault);
      case ENGINES -> injectIntoEngines(fault, model.draw(fault.share(), fault.zone()));
      case LINK -> injectIntoLinks(fault);
      case LIST -> injectIntoViews(fault);
      case LOAD -> {
        workload.surge(fault.zone(), fault.by());
        schedule(fault.length(), () -> workload.surge(fault.zone(), 1));
      }
      default -> otherFaults.accept(fault);
    }
  }

  /** Affects the gateways drawn all at once, or one after another over the fault's spread. */
  private void injectIntoGateways(Fault fault) {
    List<Integer> some = drawGateways(fault.share(), fault.zone());
    for (int i = 0; i < some.size(); i++) {
      int g = some.get(i);
      schedule(
          fault.spread() * i / some.size(),
          () -> {
            switch (fault.kind()) {
              case KILL -> {
                gateways.kill(g);
                schedule(fault.length(), () -> gateways.start(g));
              }
              case TERMINATE -> {
                gateways.terminate(g);
                schedule(fault.length(), () -> gateways.start(g));
              }
              case TERMINATE_IN_USE -> {
                if (gateways.terminateInUse(g)) {
                  schedule(EARLIEST_KILL, () -> gateways.killTerminated(g));
                  schedule(Math.max(EARLIEST_KILL, fault.length()), () -> gateways.start(g));
                }
              }
              case HANG_UP -> gateways.hangUp(g);
              case FAIL_CALLS -> {
                gateways.failCalls(g, (int) fault.by());
                schedule(fault.length(), () -> gateways.failCalls(g, 0));
              }
              case CLOCK_FORWARD, CLOCK_BACK -> {
                gateways.stepClock(
                    g, fault.kind() == Fault.Kind.CLOCK_BACK ? -fault.by() : fault.by());
                if (fault.length() > 0) {
                  schedule(fault.length(), () -> gateways.stepClock(g, 0));
                }
              }
              default -> {
                checker.halted(
                    g, true); // first, since the signal takes effect before the call ends
                gateways.halt(g, true);
                schedule(
                    fault.length(),
                    () -> {
                      gateways.halt(g, false);
                      checker.halted(g, false);
                    });
              }
            }
          });
    }
  }

  private List<Integer> drawGateways(double share, int zone) {
    List<Integer> all = new ArrayList<>();
    for (int g = 0; g < gatewayCount; g++) {
      if (zone < 0 || model.plan.zoneOf(g) == zone) {
        all.add(g);
      }
    }
    int wanted = (int) Math.ceil(share * all.size() - 1e-9);
    while (all.size() > wanted) {
      all.remove(random.nextInt(all.size()));
    }
    return all;
  }

  private void injectIntoEngines(Fault fault, List<EngineModel> some) {
    switch (fault.kind()) {
      case HANG -> model.setCondition(some, Condition.HANGING, 0, fault.length());
      case ERR -> model.setCondition(some, Condition.FAILING, fault.by(), fault.length());
      case SLOW -> model.slow(some, fault.by(), fault.length());
      case CROWD -> model.limitConnections(some, (int) fault.by(), fault.length());
      case CRASH -> model.crash(some, fault.length());
      default -> model.replace(some, fault.spread());
    }
  }

  private void injectIntoLinks(Fault fault) {
    for (int g = 0; g < model.plan.zones(); g++) {
      for (int e = 0; e < model.plan.zones(); e++) {
        // With a far zone only the link from one zone's gateways to the other zone's engines;
        // with a zone alone the links between it and all other zones in both directions; with
        // neither all links.
        boolean affected =
            fault.far() >= 0
                ? g == fault.zone() && e == fault.far()
                : fault.zone() < 0 || (g == fault.zone()) != (e == fault.zone());
        if (affected && fault.kind() == Fault.Kind.RESET) {
          model.reset(g, e);
        } else if (affected) {
          ClusterModel.Link link = model.link(g, e);
          setImpaired(link, fault, true);
          checker.impaired(g, e, true);
          int from = g;
          int to = e;
          schedule(
              fault.length(),
              () -> {
                setImpaired(link, fault, false);
                checker.impaired(from, to, false);
              });
        }
      }
    }
  }

  private static void setImpaired(ClusterModel.Link link, Fault fault, boolean now) {
    switch (fault.kind()) {
      case DELAY -> link.delay = now ? (long) (fault.by() * ClusterPlan.MILLISECOND) : 0;
      case CUT_OUT -> link.cutOut = now;
      case CUT_IN -> link.cutIn = now;
      default -> {
        link.cutOut = now;
        link.cutIn = now;
      }
    }
  }

  private void injectIntoViews(Fault fault) {
    for (ClusterModel.View v : model.views) {
      if (fault.zone() < 0 || v.zone == fault.zone()) {
        switch (fault.kind()) {
          case LATE -> {
            v.setDelay((long) (fault.by() * ClusterPlan.MILLISECOND));
            schedule(fault.length(), () -> v.setDelay(0));
          }
          case STALE -> {
            v.setStale(true);
            schedule(fault.length(), () -> v.setStale(false));
          }
          default -> {
            v.setDown(true);
            schedule(fault.length(), () -> v.setDown(false));
          }
        }
      }
    }
  }
}
