package reachloom.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.function.Function;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;

/**
 * Gives tests of other packages access to {@link SimulatorAdapter} with a scheduler of their own.
 */
public final class SimulatorAdapterProbe {
  private SimulatorAdapterProbe() {}

  /** Serves batches with schedulers of the given factory. */
  public static void serve(
      Function<SchedulerActions, SchedulerEvents> factory,
      InputStream in,
      OutputStream out,
      PrintStream err)
      throws IOException {
    new SimulatorAdapter(err, factory::apply).serve(in, out);
  }
}
