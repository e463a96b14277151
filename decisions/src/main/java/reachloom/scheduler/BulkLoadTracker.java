package reachloom.scheduler;

import static reachloom.scheduler.Nanoseconds.PER_MILLISECOND;

import java.util.LinkedHashMap;
import java.util.Map;
import reachloom.scheduler.api.ProgressKind;
import reachloom.scheduler.api.ProgressReport;

/**
 * Tracks bulk loads, which lock their table group on an engine: further loads of the group, and
 * queries of classes that wait for loads, are blocked there meanwhile. Counts the loads of this
 * gateway and, for a while after an attempt reported that it waits for one, a load of others.
 */
final class BulkLoadTracker {
  /** Loads of one table group in flight on one engine; a blocked load keeps its memory. */
  private static final int MAX_LOADS_PER_GROUP = 2;

  /** How long a load of another gateway is assumed to last: about as long as an average load. */
  private static final long FOREIGN_LOAD_NANOS = 5_000 * PER_MILLISECOND;

  /** The table groups of one engine that loads of other gateways lock; private to the tracker. */
  static final class ForeignLoads {
    private final Map<Integer, Long> lockedUntilNanosByTableGroup = new LinkedHashMap<>();
  }

  /** Records that the table group of an attempt is locked, if the attempt waits for a load. */
  void onProgress(long nowNanos, AttemptRecord attempt, ProgressReport progress) {
    if (progress.kind() == ProgressKind.LOAD_WAIT) {
      attempt.engine.foreignLoads.lockedUntilNanosByTableGroup.put(
          attempt.query.query.tableGroup(), nowNanos + FOREIGN_LOAD_NANOS);
    }
  }

  /** The number of loads that block the query on an engine; 0 if loads never block its class. */
  int loadsAhead(long nowNanos, QueryRecord query, EngineRecord engine) {
    if (!query.queryClass.loadsTables() && !query.queryClass.waitsForTableLoads()) {
      return 0;
    }
    int group = query.query.tableGroup();
    long lockedUntil = engine.foreignLoads.lockedUntilNanosByTableGroup.getOrDefault(group, 0L);
    return engine.inFlight.bulkLoads(group) + (lockedUntil > nowNanos ? 1 : 0);
  }

  /** Whether few enough loads of the query's table group are in flight on an engine. */
  boolean allows(long nowNanos, QueryRecord query, EngineRecord engine) {
    int max = query.queryClass.loadsTables() ? MAX_LOADS_PER_GROUP : 1;
    return loadsAhead(nowNanos, query, engine) < max;
  }
}
