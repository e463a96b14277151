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
 * One control machine, a part of the scale run: a change log that gateways follow. It is told
 * {@code event NUMBER ENGINE STATE STARTED} and, once it holds all of the start, {@code listen}; it
 * tells {@code listening}, and each second {@code usage MS LAG BYTES-TO-EACH-FOLLOWER,...
 * BYTES/FRAMES-BY-ZONE,...}.
 */
final class ControlMain implements HelperMain.Role {
  private final RealTimeScheduler time = new RealTimeScheduler("control");
  private final List<ClusterModel.Event> log = new ArrayList<>();
  private ClusterPlan plan;
  private ListServer server;
  private int machine;
  private int port;

  @Override
  public Options options() {
    return new Options()
        .addOption(null, "machine", true, "its number (0)")
        .addOption(null, "port", true, "where it listens, for each zone at an address (4000)")
        .addOption(null, "engine-port", true, "where engines listen (4100)")
        .addOption(null, "engines", true, "engines of the start (1)")
        .addOption(null, "zones", true, "zones (1)");
  }

  @Override
  public void run(CommandLine line) throws Exception {
    machine = Arguments.number(line, "machine", 0, 0, 100);
    port = Arguments.number(line, "port", 4_000, 1, 65_535);
    int engines = Arguments.number(line, "engines", 1, 1, 10_000);
    plan = new ClusterPlan(1, engines, Arguments.number(line, "zones", 1, 1, 16), 1, 0, 0, 0, 1, 1);
    server =
        new ListServer(
            time, plan, Arguments.number(line, "engine-port", 4_100, 1, 65_535), () -> log);
    HelperProcess.follow(l -> time.at(0, () -> told(l.split(" "))));
  }

  private void told(String[] words) {
    if (words[0].equals("event")) {
      long number = Long.parseLong(words[1]);
      if (number == log.size() + 1) { // else told before, to catch up with
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
        InetSocketAddress address = ListServer.machine(machine, z, port);
        server.bind(address);
      }
      HelperProcess.say("listening");
      look(time.now() + ClusterPlan.SECOND);
    } catch (IOException e) {
      System.err.println("control machine " + machine + ": " + e.getMessage());
    }
  }

  private void look(long at) {
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
          HelperProcess.say(
              "usage "
                  + MachineTime.millis()
                  + " "
                  + (time.now() - at) / ClusterPlan.MILLISECOND
                  + " "
                  + (each.isEmpty() ? "-" : each)
                  + " "
                  + zones);
          look(at + ClusterPlan.SECOND);
        });
  }
}
