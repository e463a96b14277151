package reachloom.lab.cluster;

import java.util.Arrays;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * Which gateways accept connections and which shut down, as clients and the front end notice it.
 * Confined to the scheduler's thread.
 */
final class GatewayAvailability implements Clients.Gateways {
  /** Time after which the front end notices that a gateway is down, in nanoseconds. */
  private static final long FRONT_NOTICE = ClusterPlan.SECOND;

  private static final long TERMINATE_MARGIN = ClusterPlan.SECOND;

  private final IntPredicate wasKilled;
  private final SplittableRandom random;
  private final boolean[] up;
  private final boolean[] terminating;
  private final long[] changedAt;

  /**
   * Creates the availability of gateways that are all down.
   *
   * @param wasKilled returns whether a gateway's process was killed
   */
  GatewayAvailability(int gateways, IntPredicate wasKilled, SplittableRandom random) {
    this.wasKilled = wasKilled;
    this.random = random;
    up = new boolean[gateways];
    terminating = new boolean[gateways];
    changedAt = new long[gateways];
  }

  void allUp() {
    Arrays.fill(up, true);
  }

  void started(int gateway) {
    up[gateway] = true;
    terminating[gateway] = false;
  }

  void killed(int gateway, long now) {
    up[gateway] = false;
    changedAt[gateway] = now;
  }

  /** The front end removes a gateway before a planned restart, so it need not notice it. */
  void removed(int gateway, long now) {
    up[gateway] = false;
    changedAt[gateway] = now - FRONT_NOTICE - TERMINATE_MARGIN;
  }

  /** Records that a gateway shuts down while clients use their connections to it. */
  void terminatesInUse(int gateway, long now) {
    removed(gateway, now);
    terminating[gateway] = true;
  }

  /** Records that the process of a gateway that shut down has ended. */
  void ended(int gateway) {
    terminating[gateway] = false;
  }

  boolean isUp(int gateway) {
    return up[gateway];
  }

  /** Returns whether more than half of the gateways are up. */
  boolean mostAreUp() {
    return 2 * IntStream.range(0, up.length).filter(i -> up[i]).count() > up.length;
  }

  /** Returns the gateway to which a query of a gateway is sent. */
  int route(int gateway, long now) {
    boolean noticed = !up[gateway] && now > changedAt[gateway] + FRONT_NOTICE;
    return noticed ? other().orElse(gateway) : gateway;
  }

  @Override
  public boolean wasKilled(int gateway) {
    return wasKilled.test(gateway);
  }

  @Override
  public boolean isTerminating(int gateway) {
    return terminating[gateway];
  }

  @Override
  public OptionalInt other() {
    int[] others = IntStream.range(0, up.length).filter(i -> up[i]).toArray();
    return others.length == 0
        ? OptionalInt.empty()
        : OptionalInt.of(others[random.nextInt(others.length)]);
  }
}
