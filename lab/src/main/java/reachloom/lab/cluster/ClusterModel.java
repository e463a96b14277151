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
 * A model of the cluster around the gateways: the engines, the endpoint list as each zone receives
 * it, and the links between zones. It is accessed only on the {@link TaskScheduler}'s thread.
 */
public final class ClusterModel {
  static final int READY = 0;
  static final int DRAINING = 1;

  /** The state of an engine that was removed from the list. */
  public static final int GONE = 2;

  /** Time from a drain to the end of the process: longer than most queries take. */
  private static final long DRAIN_TIME = 4 * ClusterPlan.SECOND;

  /** Time after which the list learns that a process has ended unexpectedly. */
  private static final long DETECTION_TIME = 2 * ClusterPlan.SECOND;

  /** Time after which an engine that crashed under overload is back. */
  private static final long REPAIR_TIME = 10 * ClusterPlan.SECOND;

  /**
   * An entry of the list.
   *
   * @param state ready, draining or gone
   * @param startedMs the Unix time in milliseconds of the last start; 0 for an engine that runs
   *     since the beginning
   */
  public record ListEntry(int id, int state, long startedMs) {}

  /** One change of the list; numbers are consecutive. */
  public record Event(long number, ListEntry engine) {}

  /** The link between the gateways of one zone and the engines of another. */
  public static final class Link {
    /** Added to the delay of each message, in nanoseconds. */
    public long delay;

    /** Whether messages from gateways to engines are lost. */
    public boolean cutOut;

    /** Whether messages from engines to gateways are lost. */
    public boolean cutIn;

    /** Returns whether the link has neither a delay nor a cut. */
    public boolean healthy() {
      return delay == 0 && !cutOut && !cutIn;
    }
  }

  /** The list as the gateways of one zone receive it. */
  public final class View {
    final int zone;
    public final List<Event> log = new ArrayList<>();
    private final List<Event> held = new ArrayList<>();
    private final List<Consumer<Event>> listeners = new ArrayList<>();
    private long delay;
    private boolean stale;
    private boolean down;

    private View(int zone) {
      this.zone = zone;
    }

    /** Sets the delay of events, in nanoseconds. */
    void setDelay(long delayNanos) {
      delay = delayNanos;
    }

    /**
     * Sets whether the view is reachable but holds back new events. When it ends, the view delivers
     * the events that it held back.
     */
    void setStale(boolean now) {
      stale = now || down;
      if (!stale) {
        List.copyOf(held).forEach(this::deliver);
        held.clear();
      }
    }

    /**
     * Sets whether the view is unreachable and holds back events. When it ends, the view delivers
     * the events that it held back.
     */
    void setDown(boolean now) {
      down = now;
      setStale(now);
      availabilityListener.accept(this);
    }

    /** Returns whether the view is unreachable now. */
    public boolean isDown() {
      return down;
    }

    /** Adds a listener that is called for each event delivered from now on. */
    public void addListener(Consumer<Event> listener) {
      listeners.add(listener);
    }

    private void add(Event e) {
      time.at(
          time.now() + delay,
          () -> {
            if (stale) {
              held.add(e);
            } else {
              deliver(e);
            }
          });
    }

    private void deliver(Event e) {
      Event numbered = new Event(log.size() + 1, e.engine); // numbered in the order of this view
      log.add(numbered);
      deliveryListener.accept(this, numbered);
      listeners.forEach(listener -> listener.accept(numbered));
    }
  }

  /** Called when all connections from one zone's gateways to another zone's engines break. */
  public interface ConnectionResetListener {
    void accept(int gatewayZone, int engineZone);
  }

  /** Called for each event that a view delivers. */
  interface DeliveryListener {
    void accept(View view, Event event);
  }

  final ClusterPlan plan;
  public final TaskScheduler time;
  public final Map<Integer, EngineModel> engines = new LinkedHashMap<>();
  final Map<Integer, ListEntry> list = new LinkedHashMap<>();
  public final List<View> views = new ArrayList<>();
  private final Map<Integer, Integer> mostConnections = new LinkedHashMap<>();
  private final Link[][] links;
  private final SplittableRandom random;
  private int last;
  private long events;
  private DeliveryListener deliveryListener = (v, e) -> {};
  private ConnectionResetListener resetListener = (g, e) -> {};
  private Consumer<View> availabilityListener = v -> {};
  private Consumer<EngineModel> addedListener = e -> {};
  private Consumer<EngineModel> overloadListener = e -> {};
  private Consumer<EngineModel> endedListener = e -> {};

  /** Creates a model with the plan's engines, all healthy. */
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

  void onDelivery(DeliveryListener listener) {
    deliveryListener = listener;
  }

  /** Sets the listener for broken connections. */
  public void onReset(ConnectionResetListener listener) {
    resetListener = listener;
  }

  /** Breaks all connections from the gateways of one zone to the engines of another. */
  void reset(int gatewayZone, int engineZone) {
    resetListener.accept(gatewayZone, engineZone);
  }

  void onAvailabilityChange(Consumer<View> listener) {
    availabilityListener = listener;
  }

  /** Sets the listener for engines that are added or restarted later. */
  void onAdded(Consumer<EngineModel> listener) {
    addedListener = listener;
  }

  void onOverload(Consumer<EngineModel> listener) {
    overloadListener = listener;
  }

  /** Sets the listener for engines whose process has ended. */
  void onEnd(Consumer<EngineModel> listener) {
    endedListener = listener;
  }

  /** Returns an engine's name in the list. */
  public static String name(int engine) {
    return String.format("s-%08x", engine);
  }

  /** Returns the number in an engine's name. */
  public static int number(String name) {
    return Integer.parseUnsignedInt(name.substring(2), 16);
  }

  /** Returns the link between the gateways of one zone and the engines of another. */
  public Link link(int gatewayZone, int engineZone) {
    return links[gatewayZone][engineZone];
  }

  private ListEntry add(long startedMs) {
    int id = ++last;
    EngineModel e = new EngineModel(id, plan.spec(id), time, plan.seed() * 65_537 + id);
    engines.put(id, e);
    e.onOverload(() -> handleOverload(e));
    return new ListEntry(id, READY, startedMs);
  }

  private void put(ListEntry entry) {
    list.put(entry.id, entry);
  }

  private void announce(ListEntry entry) {
    put(entry);
    Event e = new Event(++events, entry);
    views.forEach(v -> v.add(e));
  }

  private void handleOverload(EngineModel e) {
    overloadListener.accept(e);
    endedListener.accept(e);
    long startedMs = list.get(e.id).startedMs;
    time.at(time.now() + DETECTION_TIME, () -> announce(new ListEntry(e.id, GONE, startedMs)));
    time.at(time.now() + REPAIR_TIME, () -> restart(e));
  }

  private void restart(EngineModel e) {
    e.restart();
    addedListener.accept(e);
    announce(new ListEntry(e.id, READY, time.now() / ClusterPlan.MILLISECOND));
  }

  // ---- Faults ----

  /** Draws at random a share of the ready and healthy engines of a zone, or of all zones for -1. */
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

  /** Sets the condition of some engines for a time; the share of errors applies to failing ones. */
  void setCondition(List<EngineModel> of, Condition condition, double share, long lasts) {
    of.forEach(e -> e.setCondition(condition, share));
    Predicate<EngineModel> still = e -> e.condition() == condition;
    time.at(
        time.now() + lasts,
        () -> of.stream().filter(still).forEach(e -> e.setCondition(Condition.HEALTHY, 0)));
  }

  /**
   * Limits the connections that each of some engines holds, for a time; further ones are closed as
   * soon as they are established.
   */
  void limitConnections(List<EngineModel> of, int most, long lasts) {
    of.forEach(e -> mostConnections.put(e.id, most));
    time.at(time.now() + lasts, () -> of.forEach(e -> mostConnections.remove(e.id)));
  }

  /** Returns the maximum number of connections that an engine holds now. */
  public int mostConnections(int engine) {
    return mostConnections.getOrDefault(engine, Integer.MAX_VALUE);
  }

  /** Slows some engines down by a factor, for a time. */
  void slow(List<EngineModel> of, double times, long lasts) {
    of.forEach(e -> e.setSlowdown(times));
    time.at(time.now() + lasts, () -> of.forEach(e -> e.setSlowdown(1)));
  }

  /** Crashes the processes of some engines; they restart cold after a time. */
  void crash(List<EngineModel> of, long back) {
    for (EngineModel e : of) {
      e.setCondition(Condition.DOWN, 0);
      endedListener.accept(e);
      long startedMs = list.get(e.id).startedMs;
      if (back > DETECTION_TIME) {
        time.at(time.now() + DETECTION_TIME, () -> announce(new ListEntry(e.id, GONE, startedMs)));
      }
      time.at(time.now() + back, () -> restart(e));
    }
  }

  /**
   * Replaces some engines by new ones, evenly spread over a time: each one drains and ends, and a
   * new one starts cold.
   */
  void replace(List<EngineModel> of, long within) {
    for (int i = 0; i < of.size(); i++) {
      EngineModel e = of.get(i);
      time.at(
          time.now() + within * i / of.size(),
          () -> {
            announce(new ListEntry(e.id, DRAINING, list.get(e.id).startedMs));
            ListEntry fresh = add(time.now() / ClusterPlan.MILLISECOND);
            EngineModel other = engines.get(fresh.id);
            other.restart();
            addedListener.accept(other);
            announce(fresh);
            time.at(
                time.now() + DRAIN_TIME,
                () -> {
                  announce(new ListEntry(e.id, GONE, list.get(e.id).startedMs));
                  e.setCondition(Condition.DOWN, 0);
                  endedListener.accept(e);
                });
          });
    }
  }
}
