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

/** The gateway's list of engines, without a connection to any, for measurements. */
public final class EngineList {
  private static final int LINKS = 300;
  private static final int CLIENTS = 10;

  private final EngineClient engines;

  /** An empty list. */
  public EngineList() {
    EventLoop loop = new EventLoop();
    Sockets sockets = new Sockets(CLIENTS);
    engines =
        new EngineClient(
            loop,
            sockets,
            new LingeringClose(loop, sockets, 1, 1),
            new EngineClientListener() {
              @Override
              public boolean mayStart(EngineAttempt attempt) {
                return false;
              }

              @Override
              public void onAttemptEnded(EngineAttempt attempt, AttemptOutcome outcome) {
                // there are none
              }

              @Override
              public void onProgress(EngineAttempt attempt, ProgressKind kind, double amount) {
                // there are none
              }

              @Override
              public void onHealthCheck(
                  String engine, boolean answered, Optional<LoadReport> report) {
                // there are none
              }
            },
            new EngineClient.Options(new Transport(1, 1, 1, 1), false, LINKS));
  }

  /** Takes over what the list tells. */
  public void update(boolean whole, List<EngineMember> members) {
    engines.update(whole, members);
  }
}
