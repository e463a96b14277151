package reachloom.config;

import java.net.InetSocketAddress;
import reachloom.scheduler.api.EngineEndpoint;

/**
 * An engine as the endpoint list has it.
 *
 * @param endpoint what the scheduler is told of it
 * @param address where it listens
 */
public record EngineMember(EngineEndpoint endpoint, InetSocketAddress address) {}
