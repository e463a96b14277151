package reachloom.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;

/**
 * Deterministic subsetting: the order in which a gateway prefers engines. All engines are placed on
 * a ring in the order of a hash of their names, each on an arc as long as its weight; a gateway
 * starts at the position of its number in a low-discrepancy sequence (multiples of the golden
 * ratio). Every engine thus gets gateways in proportion to its weight, without messages between
 * gateways; subsets of neighbouring gateways differ, and one engine more or less changes each
 * subset by one engine at most. Source: Google's SRE book, chapter 20; the low-discrepancy form is
 * from "Reinventing Backend Subsetting at Google", ACM Queue 2023.
 */
public final class EngineSubset {
  private static final double GOLDEN_RATIO = 0.6180339887498949;
  private static final int NAME_HASH_MULTIPLIER = 31; // as in String.hashCode

  // The finalizer of SplitMix64.
  private static final long MIX_MULTIPLIER_1 = 0xbf58476d1ce4e5b9L;
  private static final long MIX_MULTIPLIER_2 = 0x94d049bb133111ebL;
  private static final int MIX_SHIFT_1 = 30;
  private static final int MIX_SHIFT_2 = 27;
  private static final int MIX_SHIFT_3 = 31;

  /** An engine by name, with its capacity relative to other engines as weight. */
  public record WeightedEngine(String name, double weight) {}

  private record RingEntry(String name, long hash, double weight) {}

  private final double start;

  /** Creates the order of the gateway of the given number, from 0. */
  public EngineSubset(int gatewayNumber) {
    start = (gatewayNumber + 1) * GOLDEN_RATIO % 1;
  }

  /** The position of each engine, by name, in the order of this gateway, from 0. */
  public Map<String, Integer> order(List<WeightedEngine> engines) {
    List<RingEntry> ring = new ArrayList<>();
    double totalWeight = 0;
    for (WeightedEngine engine : engines) {
      ring.add(new RingEntry(engine.name, hash(engine.name), engine.weight));
      totalWeight += engine.weight;
    }
    ring.sort(Comparator.comparingLong(RingEntry::hash).thenComparing(RingEntry::name));
    int first = first(totalWeight, ring.size(), i -> ring.get(i).weight);
    Map<String, Integer> positions = new LinkedHashMap<>();
    for (int i = 0; i < ring.size(); i++) {
      positions.put(ring.get((first + i) % ring.size()).name, i);
    }
    return positions;
  }

  /** The index on a ring of engines with the given weights at which this gateway's order begins. */
  public int first(double totalWeight, int count, IntToDoubleFunction weight) {
    int first = 0;
    for (double left = start * totalWeight;
        first < count - 1 && left >= weight.applyAsDouble(first);
        first++) {
      left -= weight.applyAsDouble(first);
    }
    return first;
  }

  /** A hash of a name (finalizer of SplitMix64); the same in every gateway. */
  public static long hash(String name) {
    long hash = 0;
    for (int i = 0; i < name.length(); i++) {
      hash = hash * NAME_HASH_MULTIPLIER + name.charAt(i);
    }
    hash = (hash ^ hash >>> MIX_SHIFT_1) * MIX_MULTIPLIER_1;
    hash = (hash ^ hash >>> MIX_SHIFT_2) * MIX_MULTIPLIER_2;
    return hash ^ hash >>> MIX_SHIFT_3;
  }
}
