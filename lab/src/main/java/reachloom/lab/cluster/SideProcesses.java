package reachloom.lab.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * What stands beside the gateways that are processes of the program: further gateways, numbered on
 * after them, and the change logs that all follow. Troubles of the whole installation are its to
 * bring about.
 */
public interface SideProcesses extends FaultInjector.Gateways {
  /** How many further gateways there are. */
  int gateways();

  /** Which change log a gateway follows. */
  InetSocketAddress changeLog(int gateway);

  /** Prepares what gateways need from their start on; engines listen by now. */
  void open(ClusterModel model, EngineHosts hosts) throws IOException, InterruptedException;

  /** Starts the further gateways; gives how many are ready within their time. */
  int startGateways() throws IOException, InterruptedException;

  /** Queries begin at that time; on the timeline. */
  void begin(HistoryChecker checker, long start, long end);

  /** Brings a trouble of the installation about; on the timeline. */
  void injectFault(Fault fault);

  /** A gateway that is a process runs again, or is ended; on the timeline. */
  void onGatewayRunning(int gateway, boolean running);
}
