package reachloom.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;

/**
 * The engines that a gateway keeps to, in its own order. All engines lie on a ring, each on an arc
 * as long as its cores, in the order of a hash of their names; a gateway starts at the place of its
 * number in a sequence of low discrepancy (multiples of the golden ratio) and goes on from there.
 * So every engine has gateways in proportion to its cores, whatever their number and without their
 * talking, a gateway's next ones differ from its neighbour's, and one engine more or less moves
 * each gateway by one engine at most. After the idea of deterministic subsets (Google's SRE book,
 * chapter 20; its low-discrepancy form in "Reinventing Backend Subsetting at Google", ACM Queue
 * 2023).
 */
public final class EngineSubset {
  private static final double GOLDEN = 0.6180339887498949; // of its multiples, any run lies evenly
  private static final long MIX_A = 0xbf58476d1ce4e5b9L; // the finalizer of SplitMix64
  private static final long MIX_B = 0x94d049bb133111ebL;
  private static final int SHIFT_A = 30;
  private static final int SHIFT_B = 27;
  private static final int SHIFT_C = 31;

  /** An engine that can be kept to; the weight is what it can do, against others. */
  public record Place(String name, double weight) {}

  private record OnRing(String name, long hash, double weight) {}

  private final double start;

  /** The order of the gateway of that number. */
  public EngineSubset(int self) {
    start = (self + 1) * GOLDEN % 1;
  }

  /** The place of each engine in this gateway's order, from 0. */
  public Map<String, Integer> order(List<Place> engines) {
    List<OnRing> ring = new ArrayList<>();
    double whole = 0;
    for (Place p : engines) {
      ring.add(new OnRing(p.name, mix(p.name), p.weight));
      whole += p.weight;
    }
    ring.sort(Comparator.comparingLong(OnRing::hash).thenComparing(OnRing::name));
    int first = first(whole, ring.size(), i -> ring.get(i).weight);
    Map<String, Integer> places = new LinkedHashMap<>();
    for (int i = 0; i < ring.size(); i++) {
      places.put(ring.get((first + i) % ring.size()).name, i);
    }
    return places;
  }

  /** Where on a ring of so many engines, with those weights, this gateway's order begins. */
  public int first(double whole, int count, IntToDoubleFunction weight) {
    int first = 0;
    for (double left = start * whole;
        first < count - 1 && left >= weight.applyAsDouble(first);
        first++) {
      left -= weight.applyAsDouble(first);
    }
    return first;
  }

  /** A hash whose bits all depend on all of the name's; the same in every gateway. */
  public static long mix(String name) {
    long h = 0;
    for (int i = 0; i < name.length(); i++) {
      h = h * SHIFT_C + name.charAt(i);
    }
    h = (h ^ h >>> SHIFT_A) * MIX_A;
    h = (h ^ h >>> SHIFT_B) * MIX_B;
    return h ^ h >>> SHIFT_C;
  }
}
