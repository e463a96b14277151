package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case: of six clients two are on a link of 10,000 bytes a second. Each client sends a report, and
 * while that runs, a load of 30,000 bytes on the same connection. Each report has to be answered.
 */
final class SlowWriter {
  private static final int CLIENTS = 6;
  private static final int SLOW = 2;
  private static final int LOAD_BYTES = 30_000;
  private static final int PIECE_BYTES = 1_000;
  private static final long PIECE_MS = 100;
  private static final long REPORT_LIMIT_MS = 16_000;
  private static final long REPORT_WORK_MS = 6_000;

  /** Up to half a second after its time an answer only earns nothing; 50 ms is sockets' slack. */
  private static final long SLACK_MS = 550;

  private static final class Request {
    final String id = Client.newId();
    final String what;
    volatile double wholeAtMs = Double.NaN;
    volatile String answer;
    volatile double answeredAtMs;

    Request(String what) {
      this.what = what;
    }
  }

  private SlowWriter() {}

  public static void main(String[] arguments) {
    Scene.play(arguments, SlowWriter::run);
  }

  private static int run(Scene scene) throws IOException {
    scene.addEngines(6);
    if (!scene.startGateways(1)) {
      return Scene.NOT_RUN;
    }
    List<Request> reports = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Request report = new Request("report of client " + i);
      reports.add(report);
      boolean slow = scene.trouble && i < SLOW;
      int number = i;
      threads.add(
          Threads.daemon(
              "client " + i,
              () -> {
                try {
                  client(scene, number, slow, report);
                } catch (IOException e) {
                  scene.record.line("client %d: %s", number, e);
                }
              }));
    }
    Threads.sleep(REPORT_LIMIT_MS + SLACK_MS + 1_000);
    int lost = 0;
    int asked = 0;
    for (Request report : reports) {
      if (Double.isNaN(report.wholeAtMs)) {
        continue;
      }
      asked++;
      boolean inTime =
          report.answer != null
              && report.answeredAtMs <= report.wholeAtMs + REPORT_LIMIT_MS + SLACK_MS;
      scene.record.say(
          "%s (%s): %s",
          report.what,
          report.id,
          report.answer == null ? "no final answer: LOST" : "answered " + report.answer);
      lost += inTime ? 0 : 1;
    }
    scene.record.say("%d of %d reports lost", lost, asked);
    return asked < CLIENTS ? Scene.NOT_RUN : lost > 0 ? Scene.BROKEN : Scene.HELD;
  }

  private static void client(Scene scene, int number, boolean slow, Request report)
      throws IOException {
    Record record = scene.record;
    try (Client client = new Client(scene.gateways.get(0).listen)) {
      client.timeout((int) (REPORT_LIMIT_MS + SLACK_MS));
      Map<Integer, Request> open = new ConcurrentHashMap<>();
      byte[] frame =
          client.execute(
              Client.fields("history-report", report.id, REPORT_LIMIT_MS),
              "select * from sales_17.builds -- ms=" + REPORT_WORK_MS);
      open.put(client.lastSeq(), report);
      client.write(frame);
      report.wholeAtMs = record.nowMs();
      record.line("client %d: report %s sent, limit %d ms", number, report.id, REPORT_LIMIT_MS);
      Request load = new Request("load of client " + number);
      byte[] second =
          client.execute(
              Client.fields("result-load", load.id, 20_000),
              "insert into sales_17.results values ('" + "x".repeat(LOAD_BYTES) + "')");
      open.put(client.lastSeq(), load);
      Thread writer =
          Threads.daemon(
              "writer " + number, () -> write(record, client, number, slow, load, second));
      while (!open.isEmpty()) {
        Client.Reply reply = client.reply();
        Request answered = open.remove(reply.seq());
        answered.answeredAtMs = record.nowMs();
        answered.answer = reply.kind();
        record.line("client %d: %s answered %s", number, answered.id, reply.kind());
      }
      writer.join();
    } catch (InterruptedException e) {
      throw new IllegalStateException("interrupted", e);
    } catch (IOException e) {
      record.line("client %d: the connection ended: %s", number, e);
    }
  }

  private static void write(
      Record record, Client client, int number, boolean slow, Request load, byte[] frame) {
    try {
      Threads.sleep(200);
      record.line("client %d: load %s begins, %d bytes", number, load.id, frame.length);
      int piece = slow ? PIECE_BYTES : frame.length;
      for (int from = 0; from < frame.length; from += piece) {
        client.write(frame, from, Math.min(frame.length, from + piece));
        if (slow) {
          Threads.sleep(PIECE_MS);
        }
      }
      load.wholeAtMs = record.nowMs();
      record.line("client %d: load %s is written whole", number, load.id);
    } catch (IOException e) {
      record.line("client %d: load %s can't be written on: %s", number, load.id, e);
    }
  }
}
