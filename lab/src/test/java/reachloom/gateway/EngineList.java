package reachloom.gateway;

import java.util.List;
import java.util.Optional;
import reachloom.config.EngineMember;
import reachloom.config.GatewayConfig.Transport;
import reachloom.gateway.state.EngineAttempt;
import reachloom.gateway.wire.Sockets;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;

/** The gateway's client for engines, without any connection, for measurements of list updates. */
public final class EngineList {
  private static final int MAX_ENGINE_CONNECTIONS = 300;
  private static final int MAX_CLIENTS = 10;

  private final EngineClient engines;

  /** Creates an empty list. */
  public EngineList() {
    EventLoop loop = new EventLoop();
    Sockets sockets = new Sockets(MAX_CLIENTS, loop.pauses());
    engines =
        new EngineClient(
            loop,
            sockets,
            new LingeringClose(loop, sockets, 1, 1),
            new EngineClientListener() {
              @Override
              public boolean awaitsClientInput(EngineAttempt attempt) {
                return false;
              }

              @Override
              public boolean mayStart(EngineAttempt attempt) {
                return false;
              }

              @Override
              public void onAttemptEnded(EngineAttempt attempt, AttemptOutcome outcome) {
                // no attempts are made
              }

              @Override
              public void onProgress(EngineAttempt attempt, ProgressKind kind, double amount) {
                // no attempts are made
              }

              @Override
              public void onHealthCheck(
                  String engine, boolean answered, Optional<LoadReport> report) {
                // no health checks are sent
              }
            },
            new EngineClient.Options(new Transport(1, 1, 1, 1), false, MAX_ENGINE_CONNECTIONS));
  }

  /** Applies a complete list or changes of it. */
  public void update(boolean complete, List<EngineMember> members) {
    engines.update(complete, members);
  }
}
