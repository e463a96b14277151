package reachloom.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineKind;
import reachloom.scheduler.api.EngineState;

/**
 * The engines of the endpoint list, by name. An engine that was removed from the list stays known
 * until none of its attempts is in flight; a new incarnation replaces the previous one at once.
 */
final class EngineRegistry {
  private static final EngineKind UNKNOWN_KIND = new EngineKind(0, 0);

  private final Map<String, EngineRecord> engines = new LinkedHashMap<>();

  /** Engines that were removed from the list but may still have attempts in flight. */
  private final Set<EngineRecord> removed = new LinkedHashSet<>();

  private final EngineOrder order;
  private final List<EngineKind> kinds;
  private final List<EngineListener> listeners;
  private long listedCount;

  /**
   * Creates an empty registry.
   *
   * @param order the empty order in which this gateway prefers engines
   * @param kinds the kinds of engines, by index
   * @param listeners notified of each change, in this order
   */
  EngineRegistry(EngineOrder order, List<EngineKind> kinds, List<EngineListener> listeners) {
    this.order = order;
    this.kinds = kinds;
    this.listeners = listeners;
  }

  /**
   * Applies a list event.
   *
   * @param complete whether engines without an entry were removed
   * @return the incarnations that were replaced, in the order of the list
   */
  List<EngineRecord> update(long nowNanos, boolean complete, List<EngineEndpoint> endpoints) {
    List<EngineRecord> replaced = new ArrayList<>();
    Set<String> named = new LinkedHashSet<>();
    for (EngineEndpoint endpoint : endpoints) {
      named.add(endpoint.name());
      EngineRecord known = engines.get(endpoint.name());
      if (known == null || endpoint.incarnation() > known.endpoint().incarnation()) {
        engines.put(endpoint.name(), newIncarnation(nowNanos, endpoint, !complete, known));
        if (known != null) {
          known.retire();
          takeOutOfUse(known);
          replaced.add(known);
        }
      }
      EngineRecord engine = engines.get(endpoint.name());
      engine.update(endpoint);
      changeState(nowNanos, engine, endpoint.state());
    }
    if (complete) {
      engines.values().stream()
          .filter(e -> !named.contains(e.name))
          .forEach(e -> changeState(nowNanos, e, EngineState.REMOVED));
    }
    List<EngineRecord> up = order.all();
    listeners.forEach(l -> l.onListUpdated(up));
    return replaced;
  }

  private EngineRecord newIncarnation(
      long nowNanos, EngineEndpoint endpoint, boolean isIncremental, EngineRecord known) {
    EngineKind kind = endpoint.kind() < kinds.size() ? kinds.get(endpoint.kind()) : UNKNOWN_KIND;
    double cores = kind.cores() > 0 ? kind.cores() : Math.max(1, endpoint.weight());
    long position = known == null ? listedCount++ : known.listPosition;
    EngineRecord engine = new EngineRecord(endpoint, position, cores, kind.memoryMb());
    listeners.forEach(l -> l.onEngineListed(nowNanos, engine, isIncremental));
    return engine;
  }

  private void changeState(long nowNanos, EngineRecord engine, EngineState state) {
    engine.state(state);
    if (state == EngineState.UP) {
      order.add(engine);
      removed.remove(engine);
      listeners.forEach(l -> l.onEngineUp(nowNanos, engine));
      return;
    }
    takeOutOfUse(engine);
    if (state == EngineState.REMOVED) {
      removed.add(engine);
    }
  }

  /** Stops new attempts on an engine; those in flight continue. */
  private void takeOutOfUse(EngineRecord engine) {
    order.remove(engine);
    listeners.forEach(l -> l.onEngineDown(engine));
  }

  /** Forgets engines that were removed from the list and have no attempt in flight. */
  void forgetRemoved() {
    for (EngineRecord engine : List.copyOf(removed)) {
      if (engine.inFlight.isEmpty()) {
        removed.remove(engine);
        engine.retire();
        engines.remove(engine.name, engine);
      }
    }
  }

  /** The current incarnation of an engine, or null if the name is unknown. */
  EngineRecord find(String name) {
    return engines.get(name);
  }

  /** All known engines, in the order in which they were first listed. */
  Collection<EngineRecord> all() {
    return engines.values();
  }

  /** The engines that are up, in the order in which this gateway prefers them. */
  Stream<EngineRecord> upByPreference() {
    return order.stream();
  }

  /** The names of all known engines. */
  Set<String> names() {
    return Set.copyOf(engines.keySet());
  }

  /** The number of known engines, including those that are draining or were removed. */
  int size() {
    return engines.size();
  }
}
