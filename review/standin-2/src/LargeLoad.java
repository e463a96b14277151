import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A client with look-ups open on its connection begins a load of 70 KB there. Counts the look-ups,
 * which were taken whole before, that get no answer. The load itself is not judged.
 */
final class LargeLoad {
  private static final int LOOKUPS = 8;
  private static final int CLIENTS = 3;
  private static final long WORK_MS = 400;
  private static final long LIMIT_MS = 5_000;
  private static final long LATE_MS = 550;
  private static final long LOAD_LIMIT_MS = 25_000;
  private static final int LARGE_BYTES = 70_000;
  private static final int USUAL_BYTES = 30_000;

  private final Rig rig;
  private int lost;

  private LargeLoad(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) {
    Rig.run(arguments, rig -> new LargeLoad(rig).keepsRule());
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
    List<Rig.Node> nodes = new ArrayList<>();
    List<String> hosts = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      Rig.Node node = rig.new Node("node" + i, work);
      nodes.add(node);
      hosts.add(Rig.host(i, node.address, "hall-a", "std-8"));
    }
    Rig.ChangeLog log = rig.new ChangeLog();
    Rig.Gateway gateway =
        rig.gateway(
            Rig.configuration(Rig.freeAddress(), log.address, Settings.semarang(15), hosts));
    for (int i = 0; i < CLIENTS; i++) {
      client(gateway, "client" + i);
    }
    long asked = nodes.stream().flatMap(n -> n.asks.stream()).filter(a -> a.statement.startsWith("select")).count();
    gateway.recordLog(20);
    rig.note(asked + " look-ups came to nodes; " + lost + " of " + CLIENTS * LOOKUPS + " got no answer");
    if (asked < CLIENTS * LOOKUPS) {
      throw new IllegalStateException("not all look-ups were forwarded");
    }
    return lost == 0;
  }

  private void client(Rig.Gateway gateway, String name) throws IOException {
    try (Rig.Client client = new Rig.Client(gateway.listen, name)) {
      Set<Integer> open = new HashSet<>();
      for (int i = 0; i < LOOKUPS; i++) {
        open.add(client.execute("status-lookup", Rig.newId(), LIMIT_MS, "site-surabaya", null, "select a from builds_1.runs"));
      }
      Rig.pause(WORK_MS / 2);
      int bytes = rig.trouble ? LARGE_BYTES : USUAL_BYTES;
      String row = "('a', 'b', 'c'), ";
      String statement = "insert into builds_2.results values " + row.repeat(bytes / row.length()) + "('a', 'b', 'c')";
      try {
        client.execute("result-load", Rig.newId(), LOAD_LIMIT_MS, "site-surabaya", Rig.newId() + Rig.newId(), statement);
        rig.note(name + " has " + LOOKUPS + " look-ups open and has sent a load of " + statement.length() + " bytes");
        while (!open.isEmpty()) {
          Rig.Reply reply = client.reply(LIMIT_MS + LATE_MS);
          rig.note(name + ": answer to number " + reply.seq() + ": " + reply.kind());
          open.remove(reply.seq());
        }
      } catch (IOException e) {
        rig.note(name + ": the connection ended: " + e);
      }
      rig.note(name + ": " + open.size() + " look-ups without an answer");
      lost += open.size();
    }
  }
}
