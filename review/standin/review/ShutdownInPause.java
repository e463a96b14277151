package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Case: one of three gateways is restarted as planned. SIGTERM comes 0.1 s after it has begun to
 * stand still for 1.8 s. All that it had taken has to be answered before SIGKILL, which comes 3.7 s
 * after SIGTERM. The other two gateways go on.
 */
final class ShutdownInPause {
  private static final int GATEWAYS = 3;

  /** Requests for each gateway. */
  private static final int REPORTS = 10;

  private static final long LIMIT_MS = 16_000;
  private static final long WORK_MS = 9_000;
  private static final long PAUSE_MS = 1_800;
  private static final long TERM_AFTER_MS = 100;

  /** The longest deadline, which counts as 3 s at most, and 0.7 s. */
  private static final long KILL_AFTER_MS = 3_000 + 700;

  /** Pauses are 2,000 ms at most; a longer one is outside the limits and is not judged. */
  private static final long MAX_PAUSE_MS = 2_000;

  /** Up to half a second after its time an answer only earns nothing; 50 ms is sockets' slack. */
  private static final long SLACK_MS = 550;

  private static final class Request {
    final String id = Client.newId();
    final Gateway gateway;

    /** Whether its last byte is written; only then has the gateway taken it. */
    volatile boolean whole;

    volatile String answer;

    Request(Gateway gateway) {
      this.gateway = gateway;
    }
  }

  private ShutdownInPause() {}

  public static void main(String[] arguments) {
    Scene.play(arguments, ShutdownInPause::run);
  }

  private static int run(Scene scene) throws IOException {
    scene.addEngines(6);
    if (!scene.startGateways(GATEWAYS)) {
      return Scene.NOT_RUN;
    }
    Gateway gateway = scene.gateways.get(0);
    List<Request> requests = new ArrayList<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < GATEWAYS * REPORTS; i++) {
      Request request = new Request(scene.gateways.get(i % GATEWAYS));
      requests.add(request);
      clients.add(Threads.daemon("client " + i, () -> ask(scene, request)));
    }
    Threads.sleep(500);
    if (!requests.stream().allMatch(request -> request.whole)) {
      return Scene.NOT_RUN;
    }
    double stopMs = scene.record.nowMs();
    if (scene.trouble) {
      gateway.signal("STOP");
    }
    Threads.sleep(TERM_AFTER_MS);
    gateway.signal("TERM");
    double termMs = scene.record.nowMs(); // once it is sent, so that SIGKILL is not too early
    Threads.sleep(PAUSE_MS - TERM_AFTER_MS);
    if (scene.trouble) {
      gateway.signal("CONT");
    }
    double pauseMs = scene.record.nowMs() - stopMs;
    scene.record.line("the pause took %.0f ms at most", scene.trouble ? pauseMs : 0);
    gateway.awaitEnd((long) Math.max(1, termMs + KILL_AFTER_MS - scene.record.nowMs()));
    scene.record.line("SIGKILL, if the gateway has not ended");
    gateway.close();
    for (Thread client : clients) {
      try {
        client.join(LIMIT_MS + 2 * SLACK_MS);
      } catch (InterruptedException e) {
        throw new IllegalStateException("interrupted", e);
      }
    }
    long lost = 0;
    for (Request request : requests) {
      if (request.answer == null) {
        lost++;
        scene.record.line("LOST: %s at %s", request.id, request.gateway.name);
      }
    }
    scene.record.say("%d of %d requests never answered", lost, requests.size());
    return pauseMs > MAX_PAUSE_MS ? Scene.NOT_RUN : lost > 0 ? Scene.BROKEN : Scene.HELD;
  }

  private static void ask(Scene scene, Request request) {
    try (Client client = new Client(request.gateway.listen)) {
      client.timeout((int) (LIMIT_MS + SLACK_MS));
      client.write(
          client.execute(
              Client.fields("history-report", request.id, LIMIT_MS),
              "select * from sales_17.builds -- ms=" + WORK_MS));
      request.whole = true;
      scene.record.line(
          "client: %s sent to %s, limit %d ms", request.id, request.gateway.name, LIMIT_MS);
      request.answer = client.reply().kind();
      scene.record.line("client: %s answered %s", request.id, request.answer);
    } catch (IOException e) {
      scene.record.line("client: %s: %s", request.id, e);
    }
  }
}
