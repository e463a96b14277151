package reachloom.balancing;

/**
 * Whose turn it is, among gateways that are numbered and do not talk: each turn has one owner, each
 * of them one turn in a round. Neighbours in number do not follow each other, since numbers may go
 * with traffic: turns whose owners have nothing to send leave unused what they take turns at.
 */
public final class SlotRotation {
  private static final double GOLDEN = 0.6180339887498949; // of its multiples, any run lies evenly

  private SlotRotation() {}

  /** The number of the owner of that turn at something of that name, from 0. */
  public static int owner(String name, long turn, int gateways) {
    long step = Math.max(1, Math.round(gateways * GOLDEN));
    while (divisor(step, gateways) > 1) {
      step++;
    }
    long first = Math.floorMod(EngineSubset.mix(name), gateways);
    return (int) ((first + Math.floorMod(turn, gateways) * step) % gateways);
  }

  /**
   * The place of that gateway among so many that share a turn, from 0; the first is the turn's
   * owner, and -1 says that it has none. In a round each gateway has each place once.
   */
  public static int place(String name, long turn, int places, int gateways, int gateway) {
    int shared = Math.min(places, gateways);
    for (int place = 0; place < shared; place++) {
      if (owner(name, turn + (long) place * (gateways / shared), gateways) == gateway) {
        return place;
      }
    }
    return -1;
  }

  private static long divisor(long a, long b) {
    return b == 0 ? a : divisor(b, a % b);
  }
}
