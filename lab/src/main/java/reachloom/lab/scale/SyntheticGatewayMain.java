package reachloom.lab.scale;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import reachloom.config.EngineMember;
import reachloom.gossip.net.GossipNode;

/**
 * Many hollow gateways in one process, a part of the scale run. It is told {@code start N RATE
 * CONFIG SETTINGS}, {@code kill N}, {@code terminate N}, {@code reload N ISSUE} and {@code lacking
 * COUNT}. It tells {@code ready N MS EVENT}, {@code applied N ISSUE MS}, {@code list ENGINE STATE
 * STARTED COUNT MS} for what so many have been told by that time, {@code lacks N HAS} for those
 * that were told fewer changes, and each second {@code usage MS LAG N:CPU:SENT:BYTES:RECEIVED:BYTES
 * ...}.
 */
final class SyntheticGatewayMain implements HelperMain.Role, SyntheticGateway.Watcher {
  private static final long LIST_MS = 100;
  private static final long USAGE_MS = 1_000;

  private static final class Held {
    private int count;
    private long latest;
    private boolean told = true;
  }

  private final Map<Integer, SyntheticGateway> gateways = new ConcurrentHashMap<>();
  private final Map<String, Held> held = new LinkedHashMap<>();
  private long due;
  private long lag;

  @Override
  public Options options() {
    return new Options();
  }

  @Override
  public void run(CommandLine line) throws Exception {
    ScheduledExecutorService looks =
        Executors.newSingleThreadScheduledExecutor(
            r -> {
              Thread t = new Thread(r, "looks");
              t.setDaemon(true);
              return t;
            });
    due = MachineTime.millis() + LIST_MS;
    looks.scheduleAtFixedRate(this::lists, LIST_MS, LIST_MS, TimeUnit.MILLISECONDS);
    looks.scheduleAtFixedRate(this::usage, USAGE_MS, USAGE_MS, TimeUnit.MILLISECONDS);
    HelperProcess.follow(this::told);
  }

  private void told(String line) {
    String[] words = line.split(" ");
    int number = Integer.parseInt(words[1]);
    SyntheticGateway g = gateways.get(number);
    switch (words[0]) {
      case "start" -> {
        if (g == null) { // else it runs
          SyntheticGateway fresh =
              new SyntheticGateway(
                  number,
                  Path.of(words[3]),
                  words.length > 4 ? words[4] : null,
                  Double.parseDouble(words[2]),
                  this);
          gateways.put(number, fresh);
          fresh.start();
        }
      }
      case "lacking" ->
          gateways.forEach(
              (n, of) -> {
                if (of.held().size() < number) {
                  HelperProcess.say("lacks " + n + " " + of.held().size());
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
          synchronized (held) {
            g.held()
                .forEach(
                    k -> {
                      held.get(k).count--;
                      held.get(k).told = false;
                    });
          }
        }
      }
    }
  }

  @Override
  public void ready(int gateway, long lastEvent) {
    HelperProcess.say("ready " + gateway + " " + MachineTime.millis() + " " + lastEvent);
  }

  @Override
  public void applied(int gateway, String issue) {
    HelperProcess.say("applied " + gateway + " " + issue + " " + MachineTime.millis());
  }

  @Override
  public void holds(int gateway, EngineMember member) {
    synchronized (held) {
      Held h = held.computeIfAbsent(SyntheticGateway.key(member), k -> new Held());
      h.count++;
      h.latest = MachineTime.millis();
      h.told = false;
    }
  }

  private void lists() {
    long now = MachineTime.millis();
    lag = Math.max(lag, now - due);
    due = Math.max(due + LIST_MS, now);
    synchronized (held) {
      held.forEach(
          (key, h) -> {
            if (!h.told) {
              h.told = true;
              HelperProcess.say("list " + key + " " + h.count + " " + h.latest);
            }
          });
    }
  }

  private void usage() {
    StringBuilder line = new StringBuilder("usage " + MachineTime.millis() + " " + lag);
    lag = 0;
    gateways.forEach(
        (number, g) -> {
          GossipNode.Traffic t = g.traffic();
          line.append(' ')
              .append(number)
              .append(':')
              .append(g.processor())
              .append(':')
              .append(t.sent())
              .append(':')
              .append(t.sentBytes())
              .append(':')
              .append(t.received())
              .append(':')
              .append(t.receivedBytes());
        });
    HelperProcess.say(line.toString());
  }
}
