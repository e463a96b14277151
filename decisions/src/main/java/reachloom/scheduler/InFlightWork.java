package reachloom.scheduler;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The attempts of this gateway that are in flight on one engine, or in the whole pool, with their
 * threads, memory and bulk loads.
 */
final class InFlightWork {
  private final Set<AttemptRecord> attempts = new LinkedHashSet<>();
  private final Map<Integer, Integer> bulkLoadsByTableGroup = new LinkedHashMap<>();
  private int threads;
  private double memoryMb;

  /** Adds an attempt. */
  void add(AttemptRecord attempt) {
    attempts.add(attempt);
    threads += attempt.threads;
    memoryMb += attempt.memoryMb;
    if (attempt.query.queryClass.loadsTables()) {
      bulkLoadsByTableGroup.merge(attempt.query.query.tableGroup(), 1, Integer::sum);
    }
  }

  /** Removes an attempt if it is present. */
  void remove(AttemptRecord attempt) {
    if (attempts.remove(attempt)) {
      threads -= attempt.threads;
      memoryMb -= attempt.memoryMb;
      if (attempt.query.queryClass.loadsTables()) {
        bulkLoadsByTableGroup.merge(
            attempt.query.query.tableGroup(), -1, (x, y) -> x + y == 0 ? null : x + y);
      }
    }
  }

  /** Whether no attempt is in flight. */
  boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** The number of attempts in flight. */
  int attemptCount() {
    return attempts.size();
  }

  /** A snapshot of the attempts in flight, oldest first. */
  List<AttemptRecord> attempts() {
    return List.copyOf(attempts);
  }

  /** Total threads of the attempts in flight. */
  int threads() {
    return threads;
  }

  /** Total expected memory of the attempts in flight, in MB. */
  double memoryMb() {
    return memoryMb;
  }

  /** The number of bulk loads of a table group in flight. */
  int bulkLoads(int tableGroup) {
    return bulkLoadsByTableGroup.getOrDefault(tableGroup, 0);
  }
}
