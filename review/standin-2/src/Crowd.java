import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * 300 clients connect and stay silent; right after them usual clients connect and send one request
 * each. Counts the requests without an answer half a second after their time.
 * A connection that the gateway shuts unread is excused.
 */
final class Crowd {
  private static final int SOCKETS = 256;
  private static final int SILENT = 300;
  private static final int USUAL = 20;
  private static final long LIMIT_MS = 1_200;
  private static final long LATE_MS = 500;
  private static final long SLACK_MS = 50;
  private static final long WORK_MS = 60;

  private final Rig rig;
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();

  private Crowd(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) {
    Rig.run(arguments, rig -> new Crowd(rig).keepsRule());
  }

  private boolean keepsRule() throws Exception {
    Rig.Work work =
        ask ->
            rig.timers.schedule(
                () -> {
                  if (!ask.over) {
                    ask.answer("a\tb\tc\n");
                  }
                },
                WORK_MS,
                TimeUnit.MILLISECONDS);
    List<String> hosts = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      hosts.add(Rig.host(i, rig.new Node("node" + i, work).address, "hall-a", "std-8a"));
    }
    Rig.ChangeLog log = rig.new ChangeLog();
    Rig.Gateway gateway =
        rig.gateway(
            Rig.configuration(Rig.freeAddress(), log.address, Settings.bandung(), hosts)
                .replace("\"sockets\":1024", "\"sockets\":" + SOCKETS));
    wave(gateway, "before");
    if (served.get() < USUAL) {
      throw new IllegalStateException("only " + served + " of " + USUAL + " served before the crowd");
    }
    List<Socket> silent = new ArrayList<>();
    if (rig.trouble) {
      for (int i = 0; i < SILENT; i++) {
        Socket s = new Socket();
        s.connect(gateway.listen, 2_000);
        silent.add(s);
      }
      rig.note(SILENT + " clients have connected and stay silent");
    }
    wave(gateway, "after");
    for (Socket s : silent) {
      s.close();
    }
    gateway.recordLog(20);
    rig.note("lost: " + lost + " of " + 2 * USUAL + " requests");
    return lost.get() == 0;
  }

  /** Sends one request from each of the usual clients, on connections of their own. */
  private void wave(Rig.Gateway gateway, String name) throws InterruptedException {
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < USUAL; i++) {
      int number = i;
      Thread t = new Thread(() -> client(gateway, name + number));
      t.start();
      clients.add(t);
      Rig.pause(10);
    }
    for (Thread t : clients) {
      t.join();
    }
  }

  /** Waits for the answer until the request is lost by the rule, then stops waiting and leaves. */
  private void client(Rig.Gateway gateway, String name) {
    String txn = Rig.newId();
    try (Rig.Client client = new Rig.Client(gateway.listen, name)) {
      int seq = client.execute("status-check", txn, LIMIT_MS, "cimahi-site", null, "select a from builds_1.runs");
      long sent = System.nanoTime();
      try {
        String kind = client.reply(LIMIT_MS + LATE_MS + SLACK_MS).kind();
        rig.note(name + " txn=" + txn + ": " + kind + " after " + (System.nanoTime() - sent) / 1_000_000 + " ms");
        if (kind.equals("ANSWER")) {
          served.incrementAndGet();
        }
      } catch (SocketTimeoutException e) {
        lost.incrementAndGet();
        rig.note(name + " txn=" + txn + ": no answer " + (LATE_MS + SLACK_MS) + " ms after its time, lost");
        client.interrupt(seq);
      }
    } catch (IOException e) { // excused: a connection that is shut unread
      rig.note(name + " txn=" + txn + ": the connection was shut: " + e);
    }
  }
}
