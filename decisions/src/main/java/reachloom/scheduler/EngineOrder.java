package reachloom.scheduler;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import reachloom.balancing.EngineSubset;

/**
 * The engines that are up, in the order in which a gateway prefers them: that of {@link
 * EngineSubset}, kept as engines come and go. A change costs a search and a shift of references,
 * not a sort, since at thousands of engines the list of them changes often.
 */
final class EngineOrder {
  private static final Comparator<Entry> BY_HASH =
      Comparator.comparingLong(Entry::hash).thenComparing(entry -> entry.engine().name);
  private static final int UNKNOWN = -1;

  private record Entry(long hash, EngineRecord engine) {}

  private final EngineSubset subset;
  private final List<Entry> ring = new ArrayList<>();

  /** Where this gateway's order begins on the ring. */
  private int first = UNKNOWN;

  /** The order of the gateway with that subset. */
  public EngineOrder(EngineSubset subset) {
    this.subset = subset;
  }

  /** An engine is up from now on; one that was already is left alone. */
  public void add(EngineRecord engine) {
    Entry entry = new Entry(EngineSubset.mix(engine.name), engine);
    int at = Collections.binarySearch(ring, entry, BY_HASH);
    if (at < 0) {
      ring.add(-at - 1, entry);
      first = UNKNOWN;
    }
  }

  /** An engine is up no more; one that was not is left alone. */
  public void remove(EngineRecord engine) {
    int at =
        Collections.binarySearch(ring, new Entry(EngineSubset.mix(engine.name), engine), BY_HASH);
    if (at >= 0 && ring.get(at).engine == engine) {
      ring.remove(at);
      first = UNKNOWN;
    }
  }

  /** All that are up, the preferred ones first. */
  public Stream<EngineRecord> stream() {
    int from = first();
    return IntStream.range(0, ring.size()).mapToObj(i -> ring.get((from + i) % ring.size()).engine);
  }

  /** All that are up, in no particular order. */
  public List<EngineRecord> all() {
    return ring.stream().map(Entry::engine).toList();
  }

  private int first() {
    if (first == UNKNOWN) {
      double whole = ring.stream().mapToDouble(entry -> entry.engine.cores).sum();
      first = subset.first(whole, ring.size(), i -> ring.get(i).engine.cores);
    }
    return first;
  }
}
