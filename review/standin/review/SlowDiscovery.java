package review;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Not a case of its own: the list of nodes runs 3.5 s behind for 24 s. 2 s after that has begun a node begins to
 * drain. The gateway has to stop sending to it in time.
 */
final class SlowDiscovery {
  private static final long DELAY_MS = 3_500;
  private static final long LEAD_MS = 2_000;
  private static final long WATCHED_MS = 22_000;
  private static final long INTERVAL_MS = 20;
  private static final long LIMIT_MS = 4_000;

  /** An event counts as told 7 s after it is in the change log, whether or not it has arrived. */
  private static final long TOLD_MS = 7_000;

  /** The settings' stopSendingWithin, and the slack of sockets. */
  private static final long GRACE_MS = 500 + 50;

  private SlowDiscovery() {}

  public static void main(String[] arguments) {
    Scene.play(arguments, SlowDiscovery::run);
  }

  private static int run(Scene scene) throws IOException {
    Record record = scene.record;
    scene.addEngines(6);
    try (LateLog late = new LateLog(scene.changeLog.address(), record)) {
      Gateway gateway = new Gateway(scene.root, scene.folder, 0, Settings.small(1), record);
      scene.gateways.add(gateway);
      gateway.configure(late.address(), scene.engines);
      gateway.start();
      if (!gateway.awaitReady()) {
        return Scene.NOT_RUN;
      }
      Threads.sleep(2_000);
      AtomicInteger answered = new AtomicInteger();
      long endNanos = System.nanoTime() + (LEAD_MS + WATCHED_MS) * 1_000_000;
      late.delayMs = scene.trouble ? DELAY_MS : 0;
      record.line("the change log's bytes come %d ms late from here on", late.delayMs);
      Threads.daemon("load", () -> load(scene, gateway, answered, endNanos));
      Threads.sleep(LEAD_MS);
      Engine draining = scene.engines.get(0);
      int before = draining.arrivals.size();
      double inLogMs = record.nowMs();
      scene.changeLog.add(draining, 1);
      Threads.sleep(WATCHED_MS);
      int broken = 0;
      double last = 0;
      for (Engine.Arrival arrival : draining.arrivals) {
        if (arrival.atMs > inLogMs + TOLD_MS + GRACE_MS) {
          broken++;
          last = Math.max(last, arrival.atMs - inLogMs);
        }
      }
      record.say(
          "%d requests answered; before the drain %d were sent to the node",
          answered.get(),
          before);
      record.say(
          "%d sent to the draining node later than %d ms after the event; the last after %.0f ms",
          broken,
          TOLD_MS + GRACE_MS,
          last);
      boolean ran = answered.get() > 100 && before > 0;
      return !ran ? Scene.NOT_RUN : broken > 0 ? Scene.BROKEN : Scene.HELD;
    }
  }

  /** Sends look-ups at an even pace, each on a connection of its own. */
  private static void load(Scene scene, Gateway gateway, AtomicInteger answered, long endNanos) {
    while (System.nanoTime() < endNanos) {
      Threads.daemon(
          "client",
          () -> {
            try (Client client = new Client(gateway.listen)) {
              client.timeout((int) LIMIT_MS + 1_000);
              client.write(
                  client.execute(
                      Client.fields("status-lookup", Client.newId(), LIMIT_MS),
                      "select state from sales_17.builds -- ms=185"));
              if (client.reply().kind().equals("ANSWER")) {
                answered.incrementAndGet();
              }
            } catch (IOException e) {
              scene.record.line("client: %s", e);
            }
          });
      Threads.sleep(INTERVAL_MS);
    }
  }
}
