package reachloom.lab.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import reachloom.standin.model.EngineModel;
import reachloom.standin.model.EngineModel.Condition;

/** Plays a script: brings each trouble about in its time, and ends it. */
public final class FaultInjector {
  /** What can be done to gateways. */
  public interface Gateways {
    /** Ends it at once, without a word. */
    void kill(int gateway);

    /** Asks it to end, as a planned restart does. */
    void terminate(int gateway);

    /** Stops it where it stands, or lets it go on. */
    void halt(int gateway, boolean now);

    /** Starts it anew under its name; nothing where it runs. */
    void start(int gateway);

    /** From now on its wall clock is off by so many seconds from this machine's. */
    default void stepClock(int gateway, double seconds) {
      throw new IllegalStateException("only gateways that are processes have wall clocks");
    }

    /** From now on so many in a thousand of its system calls on sockets fail. */
    default void failCalls(int gateway, int perThousand) {
      throw new IllegalStateException("only gateways that are processes make system calls");
    }
  }

  private final ClusterModel model;
  private final int count;
  private final Consumer<Fault> others;
  private final Gateways gateways;
  private final Workload workload;
  private final HistoryChecker checker;
  private final SplittableRandom random;

  /** A director over that world; what it does to gateways is done by others. */
  public FaultInjector(
      ClusterModel model, Gateways gateways, Workload workload, HistoryChecker checker) {
    this(
        model,
        model.plan.gateways(),
        gateways,
        workload,
        checker,
        t -> {
          throw new IllegalStateException("nobody here can bring about " + t);
        });
  }

  /** The same over so many gateways; what meets none of these things is brought about by others. */
  public FaultInjector(
      ClusterModel model,
      int count,
      Gateways gateways,
      Workload workload,
      HistoryChecker checker,
      Consumer<Fault> others) {
    this.model = model;
    this.count = count;
    this.others = others;
    this.gateways = gateways;
    this.workload = workload;
    this.checker = checker;
    random = new SplittableRandom(model.plan.seed() * 17 + 3);
  }

  /** Plans all of it, from that time on, as long as the run goes on. */
  public void play(FaultSchedule script, long start, BooleanSupplier goesOn) {
    for (Fault t : script.faults()) {
      model.time.at(
          start + t.start(),
          () -> {
            if (goesOn.getAsBoolean()) {
              begin(t);
            }
          });
    }
  }

  private void later(long wait, Runnable action) {
    model.time.at(model.time.now() + wait, action);
  }

  private void begin(Fault t) {
    switch (t.who()) {
      case GATEWAYS -> gateways(t);
      case ENGINES -> engines(t, model.draw(t.share(), t.zone()));
      case LINK -> links(t);
      case LIST -> views(t);
      case LOAD -> {
        workload.surge(t.zone(), t.by());
        later(t.length(), () -> workload.surge(t.zone(), 1));
      }
      default -> others.accept(t);
    }
  }

  /** All at once, or one after another over the time given. */
  private void gateways(Fault t) {
    List<Integer> some = drawGateways(t.share(), t.zone());
    for (int i = 0; i < some.size(); i++) {
      int g = some.get(i);
      later(
          t.spread() * i / some.size(),
          () -> {
            switch (t.kind()) {
              case KILL -> {
                gateways.kill(g);
                later(t.length(), () -> gateways.start(g));
              }
              case TERMINATE -> {
                gateways.terminate(g);
                later(t.length(), () -> gateways.start(g));
              }
              case FAIL_CALLS -> {
                gateways.failCalls(g, (int) t.by());
                later(t.length(), () -> gateways.failCalls(g, 0));
              }
              case CLOCK_FORWARD, CLOCK_BACK -> {
                gateways.stepClock(g, t.kind() == Fault.Kind.CLOCK_BACK ? -t.by() : t.by());
                if (t.length() > 0) {
                  later(t.length(), () -> gateways.stepClock(g, 0));
                }
              }
              default -> {
                gateways.halt(g, true);
                checker.halted(g, true);
                later(
                    t.length(),
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
    for (int g = 0; g < count; g++) {
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

  private void engines(Fault t, List<EngineModel> some) {
    switch (t.kind()) {
      case HANG -> model.setCondition(some, Condition.HANGING, 0, t.length());
      case ERR -> model.setCondition(some, Condition.FAILING, t.by(), t.length());
      case SLOW -> model.slow(some, t.by(), t.length());
      case CROWD -> model.limitConnections(some, (int) t.by(), t.length());
      case CRASH -> model.crash(some, t.length());
      default -> model.replace(some, t.spread());
    }
  }

  private void links(Fault t) {
    for (int g = 0; g < model.plan.zones(); g++) {
      for (int e = 0; e < model.plan.zones(); e++) {
        // From one zone, to another one; without a far zone, between the zone and all others, both
        // ways.
        boolean meant =
            t.far() >= 0
                ? g == t.zone() && e == t.far()
                : t.zone() < 0 || (g == t.zone()) != (e == t.zone());
        if (meant && t.kind() == Fault.Kind.RESET) {
          model.reset(g, e);
        } else if (meant) {
          ClusterModel.Link link = model.link(g, e);
          set(link, t, true);
          checker.impaired(g, e, true);
          int from = g;
          int to = e;
          later(
              t.length(),
              () -> {
                set(link, t, false);
                checker.impaired(from, to, false);
              });
        }
      }
    }
  }

  private static void set(ClusterModel.Link link, Fault t, boolean now) {
    switch (t.kind()) {
      case DELAY -> link.delay = now ? (long) (t.by() * ClusterPlan.MILLISECOND) : 0;
      case CUT_OUT -> link.cutOut = now;
      case CUT_IN -> link.cutIn = now;
      default -> {
        link.cutOut = now;
        link.cutIn = now;
      }
    }
  }

  private void views(Fault t) {
    for (ClusterModel.View v : model.views) {
      if (t.zone() < 0 || v.zone == t.zone()) {
        switch (t.kind()) {
          case LATE -> {
            v.setDelay((long) (t.by() * ClusterPlan.MILLISECOND));
            later(t.length(), () -> v.setDelay(0));
          }
          case STALE -> {
            v.setStale(true);
            later(t.length(), () -> v.setStale(false));
          }
          default -> {
            v.setDown(true);
            later(t.length(), () -> v.setDown(false));
          }
        }
      }
    }
  }
}
