package reachloom.scheduler;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Stream;

/**
 * What other gateways report about engines. An engine that several of them suspect is chosen last
 * and gets one query at a time; reports of peers alone never eject an engine.
 */
final class PeerReports implements EngineListener {
  /** Level from which an engine is suspected: that of several peers. */
  private static final double SUSPICION_THRESHOLD = 0.5;

  /** The suspicion against one engine; private to {@link PeerReports}. */
  static final class Suspicion {
    private double level;
  }

  /** Suspected engines that are up. */
  private final Set<EngineRecord> suspected = new LinkedHashSet<>();

  /** Records the level of suspicion against an engine, from 0 (none) to 1. */
  void record(EngineRecord engine, double level) {
    engine.suspicion.level = level;
    if (isSuspected(engine) && engine.isUp()) {
      suspected.add(engine);
    } else {
      suspected.remove(engine);
    }
  }

  @Override
  public void onEngineDown(EngineRecord engine) {
    suspected.remove(engine);
  }

  /** The level of suspicion against an engine, from 0 (none) to 1. */
  double level(EngineRecord engine) {
    return engine.suspicion.level;
  }

  /** Whether several peers suspect an engine. */
  boolean isSuspected(EngineRecord engine) {
    return engine.suspicion.level >= SUSPICION_THRESHOLD;
  }

  /** The suspected engines that are up, in the order in which they became suspected. */
  Stream<EngineRecord> suspected() {
    return suspected.stream();
  }
}
