package reachloom.config;

import java.net.InetSocketAddress;
import reachloom.scheduler.api.EngineEndpoint;

/** An engine as the list of engines tells it: what decisions need, and where it listens. */
public record EngineMember(EngineEndpoint endpoint, InetSocketAddress address) {}
