package reachloom.lab.scale;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import reachloom.config.EngineMember;
import reachloom.gossip.net.GossipNode;

/**
 * Runs many synthetic gateways in one process of a scale run. It reads the lines {@code start N
 * RATE CONFIG SETTINGS}, {@code kill N}, {@code terminate N}, {@code reload N ISSUE} and {@code
 * lacking COUNT}. It prints {@code ready N MS EVENT}, {@code applied N ISSUE MS}, {@code list
 * ENGINE STATE STARTED COUNT MS} when COUNT gateways have received a list event by time MS, {@code
 * reloaded N EVENT MS KEYS} when a gateway that had received the list events KEYS got a complete
 * list with its configuration, {@code lacks N HAS} for each gateway that has received fewer than
 * COUNT changes, and each second {@code usage MS LAG N:CPU:SENT:BYTES:RECEIVED:BYTES ...}.
 */
final class SyntheticGatewayMain implements HelperMain.Role, SyntheticGateway.Watcher {
  private static final long LIST_MS = 100;
  private static final long USAGE_MS = 1_000;

  private static final class EventStatus {
    private int count;
    private long latestMs;
    private boolean reported = true;
  }

  private final Map<Integer, SyntheticGateway> gateways = new ConcurrentHashMap<>();
  private final Map<String, EventStatus> statusByEvent = new LinkedHashMap<>();
  private long nextDueMs;
  private long maxLagMs;

  @Override
  public Options options() {
    return new Options();
  }

  @Override
  public void run(CommandLine line) throws Exception {
    ScheduledExecutorService reports =
        Executors.newSingleThreadScheduledExecutor(
            r -> {
              Thread t = new Thread(r, "reports");
              t.setDaemon(true);
              return t;
            });
    nextDueMs = MachineTime.millis() + LIST_MS;
    reports.scheduleAtFixedRate(this::reportLists, LIST_MS, LIST_MS, TimeUnit.MILLISECONDS);
    reports.scheduleAtFixedRate(this::reportUsage, USAGE_MS, USAGE_MS, TimeUnit.MILLISECONDS);
    HelperProcess.readLines(this::handleLine);
  }

  private void handleLine(String line) {
    String[] words = line.split(" ");
    int number = Integer.parseInt(words[1]);
    SyntheticGateway g = gateways.get(number);
    switch (words[0]) {
      case "start" -> {
        if (g == null) { // else the gateway already runs
          SyntheticGateway created =
              new SyntheticGateway(
                  number,
                  Path.of(words[3]),
                  words.length > 4 ? words[4] : null,
                  Double.parseDouble(words[2]),
                  this);
          gateways.put(number, created);
          created.start();
        }
      }
      case "lacking" ->
          gateways.forEach(
              (n, gateway) -> {
                if (gateway.receivedEvents().size() < number) {
                  HelperProcess.printLine("lacks " + n + " " + gateway.receivedEvents().size());
                }
              });
      case "reload" -> {
        if (g != null) {
          g.reload(words[2]);
        }
      }
      default -> {
        if (g != null) {
          gateways.remove(number);
          g.end(words[0].equals("terminate"));
          synchronized (statusByEvent) {
            g.receivedEvents().forEach(this::uncount);
          }
        }
      }
    }
  }

  @Override
  public void ready(int gateway, long lastEvent) {
    HelperProcess.printLine("ready " + gateway + " " + MachineTime.millis() + " " + lastEvent);
  }

  @Override
  public void applied(int gateway, String issue) {
    HelperProcess.printLine("applied " + gateway + " " + issue + " " + MachineTime.millis());
  }

  @Override
  public void onListEvent(int gateway, EngineMember member) {
    synchronized (statusByEvent) {
      EventStatus status =
          statusByEvent.computeIfAbsent(SyntheticGateway.eventKey(member), k -> new EventStatus());
      status.count++;
      status.latestMs = MachineTime.millis();
      status.reported = false;
    }
  }

  /** The gateway counts for its complete list from now on, no longer for each of its events. */
  @Override
  public void onReloadedList(
      int gateway, long lastEvent, boolean ready, Set<String> receivedEvents) {
    String receivedKeys;
    synchronized (statusByEvent) {
      receivedKeys = String.join(EndpointListWatcher.KEY_SEPARATOR, receivedEvents);
      receivedEvents.forEach(this::uncount);
      receivedEvents.clear();
      printChangedCounts(); // first, so that the gateway is not counted twice meanwhile
    }
    if (ready) { // otherwise the line that reports it as ready has the list's last event
      HelperProcess.printLine(
          "reloaded "
              + gateway
              + " "
              + lastEvent
              + " "
              + MachineTime.millis()
              + " "
              + receivedKeys);
    }
  }

  private void uncount(String key) {
    EventStatus status = statusByEvent.get(key);
    status.count--;
    status.reported = false;
  }

  private void reportLists() {
    long now = MachineTime.millis();
    maxLagMs = Math.max(maxLagMs, now - nextDueMs);
    nextDueMs = Math.max(nextDueMs + LIST_MS, now);
    synchronized (statusByEvent) {
      printChangedCounts();
    }
  }

  private void printChangedCounts() {
    statusByEvent.forEach(
        (key, status) -> {
          if (!status.reported) {
            status.reported = true;
            HelperProcess.printLine("list " + key + " " + status.count + " " + status.latestMs);
          }
        });
  }

  private void reportUsage() {
    StringBuilder line = new StringBuilder("usage " + MachineTime.millis() + " " + maxLagMs);
    maxLagMs = 0;
    gateways.forEach(
        (number, g) -> {
          GossipNode.Traffic t = g.traffic();
          line.append(' ')
              .append(number)
              .append(':')
              .append(g.cpuNanos())
              .append(':')
              .append(t.sent())
              .append(':')
              .append(t.sentBytes())
              .append(':')
              .append(t.received())
              .append(':')
              .append(t.receivedBytes());
        });
    HelperProcess.printLine(line.toString());
  }
}
