import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The change log answers 3 s late for a while; meanwhile a warehouse node begins to drain. Looks for
 * requests that come to it later than the rule allows.
 */
final class SlowLog {
  private static final long SLOW_MS = 3_000;
  private static final long TOLD_MS = 7_000;
  private static final long GRACE_MS = 500;
  private static final long SLACK_MS = 50;

  private SlowLog() {}

  public static void main(String[] arguments) {
    Rig.run(arguments, SlowLog::keepsRule);
  }

  private static boolean keepsRule(Rig rig) throws Exception {
    Rig.Work work =
        ask ->
            rig.timers.schedule(
                () -> {
                  if (!ask.over) {
                    ask.answer("a\tb\tc\n");
                  }
                },
                100,
                TimeUnit.MILLISECONDS);
    List<Rig.Node> nodes = new ArrayList<>();
    List<String> hosts = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      Rig.Node node = rig.new Node("node" + i, work);
      nodes.add(node);
      hosts.add(Rig.host(i, node.address, "hall-a", "std-8"));
    }
    Rig.ChangeLog log = rig.new ChangeLog();
    Rig.Gateway gateway =
        rig.gateway(Rig.configuration(Rig.freeAddress(), log.address, Settings.semarang(15), hosts));
    AtomicBoolean stop = new AtomicBoolean();
    for (int i = 0; i < 4; i++) {
      Rig.daemon(() -> client(gateway, stop));
    }
    Rig.pause(3_000);
    if (rig.trouble) {
      log.delayMs = SLOW_MS;
      rig.note("the change log answers " + SLOW_MS + " ms late");
    }
    Rig.pause(5_000);
    Rig.Node draining = nodes.get(0);
    long drainAt = System.nanoTime();
    log.add(1, draining.address, 1, 0, 0, 0, 0);
    rig.note("event 2: node1 drains");
    Rig.pause(14_000);
    log.delayMs = 0;
    rig.note("the change log answers at once");
    Rig.pause(4_000);
    stop.set(true);
    long bound = TOLD_MS + GRACE_MS + SLACK_MS;
    long late = draining.asks.stream().filter(a -> (a.atNanos - drainAt) / 1_000_000 > bound).count();
    long last = draining.asks.stream().mapToLong(a -> (a.atNanos - drainAt) / 1_000_000).max().orElse(-1);
    gateway.recordLog(20);
    rig.note("node1: " + draining.asks.size() + " requests, the last one " + last + " ms after it began to drain, "
        + late + " of them later than " + bound + " ms");
    if (draining.asks.isEmpty()) {
      throw new IllegalStateException("node1 got no request before it drained");
    }
    return late == 0;
  }

  private static void client(Rig.Gateway gateway, AtomicBoolean stop) {
    while (!stop.get()) {
      try (Rig.Client client = new Rig.Client(gateway.listen, "client")) {
        for (int i = 0; i < 100 && !stop.get(); i++) {
          client.execute("status-lookup", Rig.newId(),
              5000, "site-surabaya", null, "select a from builds_1.runs");
          client.reply(6000);
          Rig.pause(60);
        }
      } catch (java.io.IOException e) {
        Rig.pause(100);
      }
    }
  }
}
