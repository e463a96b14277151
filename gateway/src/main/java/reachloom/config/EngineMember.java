package reachloom.config;

import java.net.InetSocketAddress;
import reachloom.scheduler.api.EngineEndpoint;

/**
 * An engine of the endpoint list with its address.
 *
 * @param endpoint the entry that is passed to the scheduler
 * @param address the address at which the engine listens
 */
public record EngineMember(EngineEndpoint endpoint, InetSocketAddress address) {}
