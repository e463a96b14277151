package reachloom.scheduler;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reachloom.scheduler.api.Query;
import reachloom.scheduler.api.QueryClass;

/** The queries that are not finished or have attempts in flight, by id. */
final class QueryTable {
  private final Map<String, QueryRecord> queries = new LinkedHashMap<>();
  private final List<QueryClass> classes;
  private final KeyOrdering keyOrdering;
  private long arrivals;

  /** Creates an empty table for queries of the given classes. */
  QueryTable(List<QueryClass> classes, KeyOrdering keyOrdering) {
    this.classes = classes;
    this.keyOrdering = keyOrdering;
  }

  /** Adds a query that has just arrived, with the earlier of its own and its class's deadline. */
  QueryRecord add(long nowNanos, Query query) {
    QueryClass queryClass = classes.get(query.queryClass());
    long remainingNanos = Math.min(queryClass.deadlineNanos(), query.remainingNanos());
    QueryRecord added = new QueryRecord(query, queryClass, arrivals++, nowNanos + remainingNanos);
    queries.put(query.id(), added);
    return added;
  }

  /** The query of the given id, or null if it is unknown. */
  QueryRecord find(String id) {
    return queries.get(id);
  }

  /** An attempt of the query of the given id, or null if it is unknown. */
  AttemptRecord findAttempt(String id, int number) {
    QueryRecord query = queries.get(id);
    return query == null || number >= query.attempts().size() ? null : query.attempts().get(number);
  }

  /** The ids of all queries. */
  Set<String> ids() {
    return Set.copyOf(queries.keySet());
  }

  /** Removes a query if it is finished and none of its attempts is in flight. */
  void removeIfDone(long nowNanos, QueryRecord query) {
    if (query.isFinished() && !query.isInFlight()) {
      queries.remove(query.query.id());
      keyOrdering.remove(nowNanos, query);
    }
  }
}
