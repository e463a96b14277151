package reachloom.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * Gossip between instances as an installation sets it. {@code period} is in nanoseconds, {@code
 * bytesPerSecond} counts what this instance sends; {@code revoked} is null where no list is kept.
 */
public record GossipSettings(String cluster, InetSocketAddress listen, int bytesPerSecond, long period,
    Path key, Path certificate, List<Path> authorities, Path revoked, List<InetSocketAddress> seeds) {
}
