package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Not a case of its own: shows the known flood. A hundred clients each send 900 requests, some 2 MB,
 * in one write and close their connection at once. Nothing of theirs may begin at a node later than
 * 0.1 s after that. Without the disruption each sends one request and waits for its answer.
 */
final class Flood {
  private static final int CLIENTS = 100;
  private static final int REQUESTS = 900;
  private static final int STATEMENT_BYTES = 2_000;
  private static final long LIMIT_MS = 5_000;

  /** The rule's 0.1 s, and the slack of sockets. */
  private static final long GRACE_MS = 100 + 50;

  private Flood() {}

  public static void main(String[] arguments) {
    Scene.play(arguments, Flood::run);
  }

  private static int run(Scene scene) throws IOException {
    scene.addEngines(6);
    if (!scene.startGateways(1)) {
      return Scene.NOT_RUN;
    }
    Map<String, Double> goneAtMs = new ConcurrentHashMap<>();
    CountDownLatch connected = new CountDownLatch(CLIENTS);
    CountDownLatch done = new CountDownLatch(CLIENTS);
    for (int i = 0; i < CLIENTS; i++) {
      Threads.daemon("client " + i, () -> client(scene, goneAtMs, connected, done));
    }
    try {
      if (!done.await(30, TimeUnit.SECONDS)) {
        return Scene.NOT_RUN;
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException("interrupted", e);
    }
    Threads.sleep(3_000);
    int begun = 0;
    int late = 0;
    double worst = 0;
    for (Engine engine : scene.engines) {
      for (Engine.Arrival arrival : engine.arrivals) {
        double after = arrival.atMs - goneAtMs.getOrDefault(arrival.id, Double.MAX_VALUE);
        begun++;
        late += after > GRACE_MS ? 1 : 0;
        worst = Math.max(worst, after);
      }
    }
    scene.record.say(
        "%d attempts begun, %d later than %d ms after their client had gone, the last %.0f ms after",
        begun,
        late,
        GRACE_MS,
        worst);
    return late > 0 ? Scene.BROKEN : Scene.HELD;
  }

  private static void client(
      Scene scene, Map<String, Double> goneAtMs, CountDownLatch connected, CountDownLatch done) {
    String[] ids = new String[scene.trouble ? REQUESTS : 1];
    try (Client client = new Client(scene.gateways.get(0).listen)) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (int i = 0; i < ids.length; i++) {
        ids[i] = Client.newId();
        all.write(
            client.execute(
                Client.fields("status-lookup", ids[i], LIMIT_MS),
                "select state from sales_17.builds -- ms=50 " + "y".repeat(STATEMENT_BYTES)));
      }
      connected.countDown();
      connected.await();
      client.write(all.toByteArray());
      if (!scene.trouble) {
        client.timeout((int) LIMIT_MS + 1_000);
        client.reply();
      }
    } catch (IOException e) {
      scene.record.line("client: %s", e);
    } catch (InterruptedException e) {
      throw new IllegalStateException("interrupted", e);
    }
    // Closed by now: no attempt counts as later than it is.
    double nowMs = scene.record.nowMs();
    for (String id : ids) {
      if (id != null) {
        goneAtMs.put(id, nowMs);
      }
    }
    done.countDown();
  }
}
