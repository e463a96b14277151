package reachloom.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.function.Function;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;

/** Opens the simulator's front to tests of other packages. */
public final class SimulatorAdapterProbe {
  private SimulatorAdapterProbe() {}

  /** Plays batches to modules of that factory. */
  public static void serve(
      Function<SchedulerActions, SchedulerEvents> factory,
      InputStream in,
      OutputStream out,
      PrintStream err)
      throws IOException {
    new SimulatorAdapter(err, factory::apply).serve(in, out);
  }
}
