package reachloom.scheduler;

import java.util.List;

/** Is notified by {@link EngineRegistry} of changes to the set of engines. */
interface EngineListener {
  /**
   * A new incarnation of an engine was listed; notification of its state follows.
   *
   * @param isIncremental whether the list event was an incremental one
   */
  default void onEngineListed(long nowNanos, EngineRecord engine, boolean isIncremental) {}

  /** An engine is listed as up; repeated with each list event that names it. */
  default void onEngineUp(long nowNanos, EngineRecord engine) {}

  /** An engine must not get new attempts: it is draining, was removed or was replaced. */
  default void onEngineDown(EngineRecord engine) {}

  /** A list event was applied; {@code up} has the engines that are up, in hash order. */
  default void onListUpdated(List<EngineRecord> up) {}
}
