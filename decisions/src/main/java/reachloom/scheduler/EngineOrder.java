package reachloom.scheduler;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import reachloom.balancing.EngineSubset;

/**
 * The engines that are up, in the order of {@link EngineSubset} in which a gateway prefers them. A
 * change costs a binary search and a shift of references, not a sort, since with thousands of
 * engines the list changes often.
 */
final class EngineOrder {
  private static final Comparator<Entry> BY_HASH =
      Comparator.comparingLong(Entry::hash).thenComparing(entry -> entry.engine().name);
  private static final int UNKNOWN = -1;

  private record Entry(long hash, EngineRecord engine) {}

  private final EngineSubset subset;
  private final List<Entry> ring = new ArrayList<>();

  /** Index on the ring at which this gateway's order begins. */
  private int first = UNKNOWN;

  /** Creates an empty order for the gateway with the given subset. */
  EngineOrder(EngineSubset subset) {
    this.subset = subset;
  }

  /** Adds an engine unless one of its name is present. */
  void add(EngineRecord engine) {
    Entry entry = new Entry(EngineSubset.hash(engine.name), engine);
    int position = Collections.binarySearch(ring, entry, BY_HASH);
    if (position < 0) {
      ring.add(-position - 1, entry);
      first = UNKNOWN;
    }
  }

  /** Removes an engine if it is present. */
  void remove(EngineRecord engine) {
    int position =
        Collections.binarySearch(ring, new Entry(EngineSubset.hash(engine.name), engine), BY_HASH);
    if (position >= 0 && ring.get(position).engine == engine) {
      ring.remove(position);
      first = UNKNOWN;
    }
  }

  /** All engines, the preferred ones first. */
  Stream<EngineRecord> stream() {
    int from = first();
    return IntStream.range(0, ring.size()).mapToObj(i -> ring.get((from + i) % ring.size()).engine);
  }

  /** All engines, in the order of the hash of their names. */
  List<EngineRecord> all() {
    return ring.stream().map(Entry::engine).toList();
  }

  private int first() {
    if (first == UNKNOWN) {
      double totalCores = ring.stream().mapToDouble(entry -> entry.engine.cores).sum();
      first = subset.first(totalCores, ring.size(), i -> ring.get(i).engine.cores);
    }
    return first;
  }
}
