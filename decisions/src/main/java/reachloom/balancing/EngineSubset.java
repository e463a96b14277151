package reachloom.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;

/**
 * Deterministic subsetting: the order in which a gateway prefers engines. All engines lie on a ring
 * in the order of a hash of their names, each on an arc as long as its weight; a gateway starts at
 * the position of its number in a low-discrepancy sequence (multiples of the golden ratio). Every
 * engine thus gets gateways in proportion to its weight, without messages between gateways; subsets
 * of neighbouring gateways differ, and one engine more or less changes each subset by one engine at
 * most. Source: Google's SRE book, chapter 20; the low-discrepancy form is from "Reinventing
 * Backend Subsetting at Google", ACM Queue 2023.
 */
public final class EngineSubset {
  private static final double GOLDEN_RATIO = 0.6180339887498949;
  private static final long MIX_A = 0xbf58476d1ce4e5b9L; // of the finalizer of SplitMix64
  private static final long MIX_B = 0x94d049bb133111ebL;
  private static final int SHIFT_A = 30;
  private static final int SHIFT_B = 27;
  private static final int SHIFT_C = 31;

  /** An engine to be ordered; the weight is its relative capacity. */
  public record WeightedEngine(String name, double weight) {}

  private record OnRing(String name, long hash, double weight) {}

  private final double start;

  /** Creates the order of the gateway of the given number, from 0. */
  public EngineSubset(int gatewayNumber) {
    start = (gatewayNumber + 1) * GOLDEN_RATIO % 1;
  }

  /** The position of each engine, by name, in the order of this gateway, from 0. */
  public Map<String, Integer> order(List<WeightedEngine> engines) {
    List<OnRing> ring = new ArrayList<>();
    double totalWeight = 0;
    for (WeightedEngine p : engines) {
      ring.add(new OnRing(p.name, hash(p.name), p.weight));
      totalWeight += p.weight;
    }
    ring.sort(Comparator.comparingLong(OnRing::hash).thenComparing(OnRing::name));
    int first = first(totalWeight, ring.size(), i -> ring.get(i).weight);
    Map<String, Integer> places = new LinkedHashMap<>();
    for (int i = 0; i < ring.size(); i++) {
      places.put(ring.get((first + i) % ring.size()).name, i);
    }
    return places;
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
    long h = 0;
    for (int i = 0; i < name.length(); i++) {
      h = h * SHIFT_C + name.charAt(i);
    }
    h = (h ^ h >>> SHIFT_A) * MIX_A;
    h = (h ^ h >>> SHIFT_B) * MIX_B;
    return h ^ h >>> SHIFT_C;
  }
}
