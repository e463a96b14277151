package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Case: two of three gateways stand still once for 1.8 s, and then find all that came meanwhile.
 * Some of the reports that came meanwhile run longer than their clients wait. Each request has to
 * get its final answer until half a second after its time.
 */
final class Pause {
  private static final int GATEWAYS = 3;
  private static final int STOPPED = 2;
  private static final long PAUSE_MS = 1_800;

  /** Pauses are 2,000 ms at most; a longer one is outside the limits and is not judged. */
  private static final long MAX_PAUSE_MS = 2_000;

  /** Requests of each kind for each gateway, and the time between them. */
  private static final int REQUESTS = 8;

  private static final long INTERVAL_MS = 50;
  private static final long LIMIT_MS = 4_000;
  private static final long LONG_WORK_MS = 9_000;
  private static final long SHORT_WORK_MS = 150;

  /** Up to half a second after its time an answer only earns nothing; 50 ms is sockets' slack. */
  private static final long SLACK_MS = 550;

  private static final class Request {
    final String id = Client.newId();
    final String queryClass;
    final int gateway;
    volatile double wholeAtMs = Double.NaN;
    volatile double answeredAtMs = Double.NaN;
    volatile String answer;

    Request(String queryClass, int gateway) {
      this.queryClass = queryClass;
      this.gateway = gateway;
    }
  }

  private Pause() {}

  public static void main(String[] arguments) {
    Scene.play(arguments, Pause::run);
  }

  private static int run(Scene scene) throws IOException {
    scene.addEngines(6);
    if (!scene.startGateways(GATEWAYS)) {
      return Scene.NOT_RUN;
    }
    Threads.sleep(1_000);
    List<Request> requests = Collections.synchronizedList(new ArrayList<>());
    List<Thread> clients = new ArrayList<>();
    double stoppedAtMs = scene.record.nowMs();
    if (scene.trouble) {
      for (int i = 0; i < STOPPED; i++) {
        scene.gateways.get(i).signal("STOP");
      }
    }
    for (int i = 0; i < REQUESTS; i++) {
      Threads.sleep(INTERVAL_MS);
      for (int g = 0; g < GATEWAYS; g++) {
        clients.add(ask(scene, requests, "history-report", g, LONG_WORK_MS));
        clients.add(ask(scene, requests, "status-lookup", g, SHORT_WORK_MS));
      }
    }
    Threads.sleep(Math.max(0, (long) (stoppedAtMs + PAUSE_MS - scene.record.nowMs())));
    if (scene.trouble) {
      for (int i = 0; i < STOPPED; i++) {
        scene.gateways.get(i).signal("CONT");
      }
    }
    double pauseMs = scene.record.nowMs() - stoppedAtMs;
    scene.record.line("the pause took %.0f ms at most", scene.trouble ? pauseMs : 0);
    for (Thread client : clients) {
      try {
        client.join(20_000);
      } catch (InterruptedException e) {
        throw new IllegalStateException("interrupted", e);
      }
    }
    int status = judge(scene, requests);
    return pauseMs > MAX_PAUSE_MS ? Scene.NOT_RUN : status;
  }

  private static int judge(Scene scene, List<Request> requests) {
    int lost = 0;
    int asked = 0;
    for (Request request : requests) {
      if (Double.isNaN(request.wholeAtMs)) {
        continue;
      }
      asked++;
      double lateMs = request.answeredAtMs - request.wholeAtMs - LIMIT_MS;
      if (request.answer == null || lateMs > SLACK_MS) {
        lost++;
        scene.record.line(
            "LOST: %s %s at n%d: %s",
            request.queryClass,
            request.id,
            request.gateway,
            request.answer == null
                ? "no answer"
                : String.format("%s %.0f ms after its time", request.answer, lateMs));
      }
    }
    scene.record.say("%d of %d requests lost", lost, asked);
    return asked < 2 * GATEWAYS * REQUESTS
        ? Scene.NOT_RUN
        : lost > 0 ? Scene.BROKEN : Scene.HELD;
  }

  /** Sends one request on a connection of its own, and waits for its answer. */
  private static Thread ask(
      Scene scene, List<Request> requests, String queryClass, int gateway, long workMs) {
    Request request = new Request(queryClass, gateway);
    requests.add(request);
    Record record = scene.record;
    return Threads.daemon(
        "client",
        () -> {
          try (Client client = new Client(scene.gateways.get(gateway).listen)) {
            client.timeout(15_000);
            byte[] frame =
                client.execute(
                    Client.fields(queryClass, request.id, LIMIT_MS),
                    "select * from sales_17.builds -- ms=" + workMs);
            client.write(frame);
            request.wholeAtMs = record.nowMs();
            record.line(
                "client: %s %s to n%d, limit %d ms", queryClass, request.id, gateway, LIMIT_MS);
            request.answer = client.reply().kind();
            request.answeredAtMs = record.nowMs();
            record.line(
                "client: %s answered %s after %.0f ms",
                request.id, request.answer, request.answeredAtMs - request.wholeAtMs);
          } catch (IOException e) {
            record.line("client: %s: %s", request.id, e);
          }
        });
  }
}
