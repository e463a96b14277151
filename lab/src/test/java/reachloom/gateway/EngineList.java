package reachloom.gateway;

import java.util.List;
import reachloom.config.GatewayConfig.Transport;
import reachloom.config.Member;
import reachloom.gateway.tables.Attempt;
import reachloom.gateway.wire.Sockets;
import reachloom.scheduler.api.AttemptOutcome;
import reachloom.scheduler.api.LoadReport;
import reachloom.scheduler.api.ProgressKind;

/** The gateway's list of engines, without a connection to any, for measurements. */
public final class EngineList {
  private static final int LINKS = 300;
  private static final int CLIENTS = 10;

  private final Engines engines;

  /** An empty list. */
  public EngineList() {
    Loop loop = new Loop();
    Sockets sockets = new Sockets(CLIENTS);
    engines =
        new Engines(
            loop,
            sockets,
            new Closing(loop, sockets, 1, 1),
            new Engines.Watcher() {
              @Override
              public boolean mayStart(Attempt attempt) {
                return false;
              }

              @Override
              public void ended(Attempt attempt, AttemptOutcome outcome) {
                // there are none
              }

              @Override
              public void noted(Attempt attempt, ProgressKind kind, double amount) {
                // there are none
              }

              @Override
              public void probed(String engine, boolean answered, LoadReport report) {
                // there are none
              }
            },
            new Transport(1, 1, 1, 1),
            false,
            LINKS);
  }

  /** Takes over what the list tells. */
  public void update(boolean whole, List<Member> members) {
    engines.update(whole, members);
  }
}
