package reachloom.lab.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * The processes that run beside a fleet's gateway processes: further gateways, numbered after the
 * fleet's, and the change logs that all gateways follow. Injects the faults that affect the whole
 * installation.
 */
public interface SideProcesses extends FaultInjector.Gateways {
  /** Returns the number of further gateways. */
  int gateways();

  /** Returns the address of the change log that a gateway follows. */
  InetSocketAddress changeLog(int gateway);

  /** Prepares what gateways need from their start; called when the engines listen. */
  void open(ClusterModel model, EngineHosts hosts) throws IOException, InterruptedException;

  /** Starts the further gateways; returns how many become ready within the time limit. */
  int startGateways() throws IOException, InterruptedException;

  /** Called on the scheduler's thread with the times of the first and the last query. */
  void begin(HistoryChecker checker, long start, long end);

  /** Injects a fault of the installation; called on the scheduler's thread. */
  void injectFault(Fault fault);

  /** Called on the scheduler's thread when one of the fleet's gateways runs again or ends. */
  void onGatewayRunning(int gateway, boolean running);
}
