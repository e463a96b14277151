package reachloom.lab.cluster;

import java.net.InetSocketAddress;
import java.util.List;

/** Something that runs beside the queries of a {@link ProcessFleet}, on the scheduler's thread. */
public interface Companion {
  /**
   * Begins once all gateways are ready.
   *
   * @param start when the first query arrives
   * @param end when the last query arrives
   * @param gateways the gateways' addresses
   */
  void begin(long start, long end, List<InetSocketAddress> gateways);
}
