package reachloom.lab.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import reachloom.standin.model.EngineModel;
import reachloom.standin.model.EngineModel.Condition;
import reachloom.standin.model.TaskScheduler;

/**
 * What lies around the gateways: engines, the list of them as each part of the fleet is told it,
 * and the links between zones. One thread, that of the timeline, touches it.
 */
public final class ClusterModel {
  static final int READY = 0;
  static final int DRAINING = 1;

  /** The state of an engine that the list no longer has. */
  public static final int GONE = 2;

  /** From a drain to the end of the process: longer than most queries take. */
  private static final long DRAIN = 4 * ClusterPlan.SECOND;

  /** The list learns so long after it that a process has ended by itself. */
  private static final long NOTICE = 2 * ClusterPlan.SECOND;

  /** An engine that fell over is back so long after it. */
  private static final long REPAIR = 10 * ClusterPlan.SECOND;

  /**
   * An engine as the list has it: ready, draining or gone, and the Unix millisecond of a late
   * start.
   */
  public record Listed(int id, int state, long startedMs) {}

  /** One change of the list; numbers run on without gaps. */
  public record Event(long number, Listed engine) {}

  /** The way between the gateways of one zone and the engines of another. */
  public static final class Link {
    /** Added to the way of each message, in nanoseconds. */
    public long delay;

    /** Whether what gateways send, or what engines answer, is lost. */
    public boolean cutOut;

    public boolean cutIn;

    /** Whether nothing is wrong with it. */
    public boolean sound() {
      return delay == 0 && !cutOut && !cutIn;
    }
  }

  /** The list as the gateways of one zone are told it. */
  public final class View {
    final int zone;
    public final List<Event> log = new ArrayList<>();
    private final List<Event> held = new ArrayList<>();
    private final List<Consumer<Event>> hearers = new ArrayList<>();
    private long delay;
    private boolean stale;
    private boolean down;

    private View(int zone) {
      this.zone = zone;
    }

    /** From now on events come so much later. */
    void late(long by) {
      delay = by;
    }

    /** From now on it tells nothing new, though it can be reached; or what it held back, and on. */
    void stale(boolean now) {
      stale = now || down;
      if (!stale) {
        List.copyOf(held).forEach(this::tell);
        held.clear();
      }
    }

    /**
     * From now on it can't be reached and learns nothing, or is there again and tells what it
     * missed.
     */
    void down(boolean now) {
      down = now;
      stale(now);
      reach.accept(this);
    }

    /** Whether it can't be reached now. */
    public boolean isDown() {
      return down;
    }

    /** Calls back for each event from now on. */
    public void addListener(Consumer<Event> hearer) {
      hearers.add(hearer);
    }

    private void add(Event e) {
      time.at(
          time.now() + delay,
          () -> {
            if (stale) {
              held.add(e);
            } else {
              tell(e);
            }
          });
    }

    private void tell(Event e) {
      Event mine = new Event(log.size() + 1, e.engine); // numbered in the order of this view
      log.add(mine);
      told.accept(this, mine);
      hearers.forEach(h -> h.accept(mine));
    }
  }

  /** Hears that all connections from the gateways of one zone to the engines of another break. */
  public interface Broken {
    void accept(int gatewayZone, int engineZone);
  }

  /** Hears what each view is told. */
  interface Told {
    void accept(View view, Event event);
  }

  final ClusterPlan plan;
  public final TaskScheduler time;
  public final Map<Integer, EngineModel> engines = new LinkedHashMap<>();
  final Map<Integer, Listed> list = new LinkedHashMap<>();
  public final List<View> views = new ArrayList<>();
  private final Map<Integer, Integer> mostConnections = new LinkedHashMap<>();
  private final Link[][] links;
  private final SplittableRandom random;
  private int last;
  private long events;
  private Told told = (v, e) -> {};
  private Broken reset = (g, e) -> {};
  private Consumer<View> reach = v -> {};
  private Consumer<EngineModel> added = e -> {};
  private Consumer<EngineModel> fell = e -> {};
  private Consumer<EngineModel> ended = e -> {};

  /** A world with the plan's engines, all well, on that timeline. */
  public ClusterModel(ClusterPlan plan, TaskScheduler time) {
    this.plan = plan;
    this.time = time;
    random = new SplittableRandom(plan.seed() * 31 + 5);
    links = new Link[plan.zones()][plan.zones()];
    for (int z = 0; z < plan.zones(); z++) {
      views.add(new View(z));
      for (int e = 0; e < plan.zones(); e++) {
        links[z][e] = new Link();
      }
    }
    for (int i = 0; i < plan.engines(); i++) {
      put(add(0));
    }
    views.forEach(v -> list.values().forEach(l -> v.log.add(new Event(v.log.size() + 1, l))));
  }

  void onTold(Told hearer) {
    told = hearer;
  }

  /** Hears when connections are broken. */
  public void onReset(Broken hearer) {
    reset = hearer;
  }

  /** Breaks all connections from the gateways of one zone to the engines of another. */
  void reset(int gatewayZone, int engineZone) {
    reset.accept(gatewayZone, engineZone);
  }

  void onReach(Consumer<View> hearer) {
    reach = hearer;
  }

  /** Calls back for each engine that is added later. */
  void onAdded(Consumer<EngineModel> hearer) {
    added = hearer;
  }

  void onFall(Consumer<EngineModel> hearer) {
    fell = hearer;
  }

  /** Calls back when an engine's process has ended. */
  void onEnd(Consumer<EngineModel> hearer) {
    ended = hearer;
  }

  /** What the list calls an engine. */
  public static String name(int engine) {
    return String.format("s-%08x", engine);
  }

  /** The number in such a name. */
  public static int number(String name) {
    return Integer.parseUnsignedInt(name.substring(2), 16);
  }

  /** The way between the gateways of one zone and the engines of another. */
  public Link link(int gatewayZone, int engineZone) {
    return links[gatewayZone][engineZone];
  }

  private Listed add(long startedMs) {
    int id = ++last;
    EngineModel e = new EngineModel(id, plan.spec(id), time, plan.seed() * 65_537 + id);
    engines.put(id, e);
    e.onOverload(() -> fallen(e));
    return new Listed(id, READY, startedMs);
  }

  private void put(Listed entry) {
    list.put(entry.id, entry);
  }

  private void announce(Listed entry) {
    put(entry);
    Event e = new Event(++events, entry);
    views.forEach(v -> v.add(e));
  }

  private void fallen(EngineModel e) {
    fell.accept(e);
    ended.accept(e);
    long startedMs = list.get(e.id).startedMs;
    time.at(time.now() + NOTICE, () -> announce(new Listed(e.id, GONE, startedMs)));
    time.at(time.now() + REPAIR, () -> back(e));
  }

  private void back(EngineModel e) {
    e.restart();
    added.accept(e);
    announce(new Listed(e.id, READY, time.now() / ClusterPlan.MILLISECOND));
  }

  // ---- Troubles ----

  /**
   * Some of the engines that serve: a share of those in the zone, or of all for -1, drawn by
   * chance.
   */
  List<EngineModel> draw(double share, int zone) {
    List<EngineModel> some =
        new ArrayList<>(
            engines.values().stream()
                .filter(e -> list.get(e.id).state == READY && e.condition() == Condition.HEALTHY)
                .filter(e -> zone < 0 || plan.zoneOfEngine(e.id) == zone)
                .toList());
    int wanted = (int) Math.ceil(share * some.size() - 1e-9);
    for (int i = 0; i < wanted; i++) {
      int other = i + random.nextInt(some.size() - i);
      EngineModel e = some.get(i);
      some.set(i, some.get(other));
      some.set(other, e);
    }
    return List.copyOf(some.subList(0, wanted));
  }

  /** They hang, or err in that share of queries, for so long. */
  void upset(List<EngineModel> of, Condition mood, double share, long lasts) {
    of.forEach(e -> e.setCondition(mood, share));
    Predicate<EngineModel> still = e -> e.condition() == mood;
    time.at(
        time.now() + lasts,
        () -> of.stream().filter(still).forEach(e -> e.setCondition(Condition.HEALTHY, 0)));
  }

  /**
   * They hold at most so many connections for so long; further ones are closed as soon as they are
   * up.
   */
  void crowd(List<EngineModel> of, int most, long lasts) {
    of.forEach(e -> mostConnections.put(e.id, most));
    time.at(time.now() + lasts, () -> of.forEach(e -> mostConnections.remove(e.id)));
  }

  /** How many connections an engine holds at most now. */
  public int mostConnections(int engine) {
    return mostConnections.getOrDefault(engine, Integer.MAX_VALUE);
  }

  /** They are so many times slower for so long. */
  void slow(List<EngineModel> of, double times, long lasts) {
    of.forEach(e -> e.setSlowdown(times));
    time.at(time.now() + lasts, () -> of.forEach(e -> e.setSlowdown(1)));
  }

  /** Their processes end at once and start anew after that time, cold. */
  void crash(List<EngineModel> of, long back) {
    for (EngineModel e : of) {
      e.setCondition(Condition.DOWN, 0);
      ended.accept(e);
      long startedMs = list.get(e.id).startedMs;
      if (back > NOTICE) {
        time.at(time.now() + NOTICE, () -> announce(new Listed(e.id, GONE, startedMs)));
      }
      time.at(time.now() + back, () -> back(e));
    }
  }

  /**
   * Each is replaced by a new one within that time: it drains, ends, and another one starts cold.
   */
  void replace(List<EngineModel> of, long within) {
    for (int i = 0; i < of.size(); i++) {
      EngineModel e = of.get(i);
      time.at(
          time.now() + within * i / of.size(),
          () -> {
            announce(new Listed(e.id, DRAINING, list.get(e.id).startedMs));
            Listed fresh = add(time.now() / ClusterPlan.MILLISECOND);
            EngineModel other = engines.get(fresh.id);
            other.restart();
            added.accept(other);
            announce(fresh);
            time.at(
                time.now() + DRAIN,
                () -> {
                  announce(new Listed(e.id, GONE, list.get(e.id).startedMs));
                  e.setCondition(Condition.DOWN, 0);
                  ended.accept(e);
                });
          });
    }
  }
}
