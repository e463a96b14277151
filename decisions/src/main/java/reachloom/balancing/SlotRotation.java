package reachloom.balancing;

/**
 * Assigns numbered slots to numbered gateways in rotation, without messages between them: each slot
 * has one owner, and each gateway owns one slot per round. Gateways with neighbouring numbers do
 * not own consecutive slots, since numbers may correlate with traffic, and a slot whose owner has
 * no queries goes unused.
 */
public final class SlotRotation {
  private static final double GOLDEN_RATIO = 0.6180339887498949;

  private SlotRotation() {}

  /** The number of the gateway, from 0, that owns a slot of the engine of the given name. */
  public static int owner(String name, long slot, int gateways) {
    long step = Math.max(1, Math.round(gateways * GOLDEN_RATIO));
    while (greatestCommonDivisor(step, gateways) > 1) {
      step++;
    }
    long first = Math.floorMod(EngineSubset.hash(name), gateways);
    return (int) ((first + Math.floorMod(slot, gateways) * step) % gateways);
  }

  /**
   * The place of a gateway among those that share a slot: 0 for the owner, -1 if the gateway has no
   * share. In a round each gateway has each place once.
   */
  public static int place(String name, long slot, int places, int gateways, int gateway) {
    int shared = Math.min(places, gateways);
    for (int place = 0; place < shared; place++) {
      if (owner(name, slot + (long) place * (gateways / shared), gateways) == gateway) {
        return place;
      }
    }
    return -1;
  }

  private static long greatestCommonDivisor(long a, long b) {
    return b == 0 ? a : greatestCommonDivisor(b, a % b);
  }
}
