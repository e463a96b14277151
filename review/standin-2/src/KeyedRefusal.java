import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loads that run longer than nodes remember their keys; the connection under each is reset before
 * its answer. Counts how often the effect of each key was applied: all nodes drop the repeat of a
 * key for the window from when it first came to one of them.
 */
final class KeyedRefusal {
  private static final long WINDOW_MS = 5_000;

  /** 11 s of work on the two threads of the class. */
  private static final long LOAD_MS = 5_500;

  private static final long NOTE_MS = 500;
  private static final long CLIENT_WAIT_MS = 200;
  private static final long LIMIT_MS = 25_000;
  private static final int LOADS = 4;

  private final Rig rig;
  private final Map<String, Long> firstSeen = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> applied = new ConcurrentHashMap<>();

  private KeyedRefusal(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) {
    Rig.run(arguments, rig -> new KeyedRefusal(rig).keepsRule());
  }

  private boolean keepsRule() throws Exception {
    List<String> hosts = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      Rig.Node node = rig.new Node("node" + i, this::load);
      hosts.add(Rig.host(i, node.address, "hall-a", "std-8"));
    }
    Rig.ChangeLog log = rig.new ChangeLog();
    Rig.Gateway gateway =
        rig.gateway(
            Rig.configuration(
                Rig.freeAddress(), log.address, Settings.semarang(WINDOW_MS / 1e3), hosts));
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < LOADS; i++) {
      int number = i;
      Thread t = new Thread(() -> client(gateway, number));
      t.start();
      clients.add(t);
    }
    for (Thread t : clients) {
      t.join();
    }
    Rig.pause(500);
    gateway.recordLog(40);
    if (applied.size() != LOADS) {
      throw new IllegalStateException("only " + applied.size() + " loads ran");
    }
    boolean once = true;
    for (Map.Entry<String, AtomicInteger> e : applied.entrySet()) {
      rig.note("key " + e.getKey() + " was applied " + e.getValue() + " time(s)");
      once &= e.getValue().get() == 1;
    }
    return once;
  }

  /** What a node does with a load. */
  private void load(Rig.Ask ask) {
    String key = ask.fields.get("uniq");
    long now = System.nanoTime();
    boolean repeat;
    boolean known;
    synchronized (firstSeen) {
      Long seen = firstSeen.get(key);
      known = seen != null;
      repeat = known && now - seen < WINDOW_MS * 1_000_000;
      if (!repeat) {
        firstSeen.put(key, now);
      }
    }
    if (repeat) {
      rig.note(ask.node.name + " drops a repeat of key " + key);
      ask.answer("loaded\t1\t1\n");
      return;
    }
    rig.note(ask.node.name + " runs the load of key " + key + (known ? ", which it has forgotten" : ""));
    for (long at = NOTE_MS; at < LOAD_MS; at += NOTE_MS) {
      double share = (double) at / LOAD_MS;
      rig.timers.schedule(() -> progress(ask, share), at, TimeUnit.MILLISECONDS);
    }
    rig.timers.schedule(() -> finish(ask, key), LOAD_MS, TimeUnit.MILLISECONDS);
  }

  private static void progress(Rig.Ask ask, double share) {
    if (!ask.over) {
      ask.progress(share);
    }
  }

  private void finish(Rig.Ask ask, String key) {
    if (ask.over) {
      return; // given up: this node stops the work
    }
    int times = applied.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
    rig.note(ask.node.name + " has applied the load of key " + key + ", time " + times);
    if (rig.trouble && times == 1) {
      rig.note(ask.node.name + ": the connection is reset before the answer");
      ask.reset();
    } else {
      ask.answer("loaded\t1\t1\n");
    }
  }

  /** Sends a load; sends it again, once, only if it is told that this is harmless. */
  private void client(Rig.Gateway gateway, int number) {
    String key = UUID.randomUUID().toString().replace("-", "");
    long end = System.nanoTime() + LIMIT_MS * 1_000_000;
    boolean again = true;
    for (int i = 0; i < 2 && again; i++) {
      String txn = Rig.newId();
      long left = (end - System.nanoTime()) / 1_000_000;
      rig.note("client" + number + " sends result-load txn=" + txn + " unique=" + key + " limit=" + left);
      try (Rig.Client client = new Rig.Client(gateway.listen, "client" + number)) {
        client.execute(
            "result-load", txn, left, "site-surabaya", key,
            "insert into builds_" + (number + 1) + ".results values (1)");
        Rig.Reply reply = client.reply(left + 1_000);
        rig.note("client" + number + " txn=" + txn + " was answered " + reply.kind());
        again = reply.kind().equals("BUSY");
      } catch (IOException e) {
        rig.note("client" + number + " txn=" + txn + " got no answer: " + e);
        again = false;
      }
      Rig.pause(again ? CLIENT_WAIT_MS : 0);
    }
  }
}
