package reachloom.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import reachloom.lab.cluster.ClusterModel;
import reachloom.lab.cluster.ClusterPlan;
import reachloom.lab.cluster.ListServer;
import reachloom.lab.command.Arguments;
import reachloom.standin.model.RealTimeScheduler;

/**
 * One control machine of a scale run: serves a change log that gateways follow. It reads the lines
 * {@code event NUMBER ENGINE STATE STARTED} and, after the initial events, {@code listen}. It
 * prints {@code listening} and each second {@code usage MS LAG BYTES-TO-EACH-FOLLOWER,...
 * BYTES/FRAMES-BY-ZONE,...}: bytes to each follower since the last line, or {@code -} without
 * followers, and sums by zone since the process started.
 */
final class ControlMain implements HelperMain.Role {
  private final RealTimeScheduler time = new RealTimeScheduler("control");
  private final List<ClusterModel.Event> log = new ArrayList<>();
  private ClusterPlan plan;
  private ListServer server;
  private int machineNumber;
  private int port;

  @Override
  public Options options() {
    return new Options()
        .addOption(null, "machine", true, "number of this control machine (0)")
        .addOption(null, "port", true, "port to listen on, at one address for each zone (4000)")
        .addOption(null, "engine-port", true, "port that engines listen on (4100)")
        .addOption(null, "engines", true, "engines at the start (1)")
        .addOption(null, "zones", true, "zones (1)");
  }

  @Override
  public void run(CommandLine line) throws Exception {
    machineNumber = Arguments.number(line, "machine", 0, 0, 100);
    port = Arguments.number(line, "port", 4_000, 1, 65_535);
    int engines = Arguments.number(line, "engines", 1, 1, 10_000);
    plan = new ClusterPlan(1, engines, Arguments.number(line, "zones", 1, 1, 16), 1, 0, 0, 0, 1, 1);
    server =
        new ListServer(
            time, plan, Arguments.number(line, "engine-port", 4_100, 1, 65_535), () -> log);
    HelperProcess.readLines(l -> time.at(0, () -> handleLine(l.split(" "))));
  }

  private void handleLine(String[] words) {
    if (words[0].equals("event")) {
      long number = Long.parseLong(words[1]);
      if (number == log.size() + 1) { // earlier numbers repeat when a machine catches up
        log.add(
            new ClusterModel.Event(
                number,
                new ClusterModel.ListEntry(
                    Integer.parseInt(words[2]),
                    Integer.parseInt(words[3]),
                    Long.parseLong(words[4]))));
        server.sendNewEvents();
      }
      return;
    }
    try {
      for (int z = 0; z < plan.zones(); z++) {
        InetSocketAddress address = ListServer.machine(machineNumber, z, port);
        server.bind(address);
      }
      HelperProcess.printLine("listening");
      scheduleUsageReport(time.now() + ClusterPlan.SECOND);
    } catch (IOException e) {
      System.err.println("control machine " + machineNumber + ": " + e.getMessage());
    }
  }

  private void scheduleUsageReport(long at) {
    time.at(
        at,
        () -> {
          StringBuilder zones = new StringBuilder();
          for (int z = 0; z < plan.zones(); z++) {
            ListServer.Sent sent = server.sent(z);
            zones.append(z == 0 ? "" : ",").append(sent.bytes()).append('/').append(sent.frames());
          }
          String each =
              server.bytesSinceLooked().stream()
                  .map(String::valueOf)
                  .collect(Collectors.joining(","));
          HelperProcess.printLine(
              "usage "
                  + MachineTime.millis()
                  + " "
                  + (time.now() - at) / ClusterPlan.MILLISECOND
                  + " "
                  + (each.isEmpty() ? "-" : each)
                  + " "
                  + zones);
          scheduleUsageReport(at + ClusterPlan.SECOND);
        });
  }
}
