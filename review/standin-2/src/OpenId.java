import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A bad client sends the id of an open request of a usual client with a different statement. Counts
 * the answers "served" that it gets, and the ids that came to nodes with two statements.
 */
final class OpenId {
  private static final int ROUNDS = 20;
  private static final long WORK_MS = 80;
  private static final long BAD_AFTER_MS = 20;
  private static final long LIMIT_MS = 5_000;

  private OpenId() {}

  public static void main(String[] arguments) {
    Rig.run(arguments, OpenId::keepsRule);
  }

  private static boolean keepsRule(Rig rig) throws Exception {
    Rig.Work work =
        ask ->
            rig.timers.schedule(
                () -> {
                  if (!ask.over) {
                    ask.endedNanos = System.nanoTime();
                    ask.answer(ask.statement + "\t1\t1\n");
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
    int usualServed = 0;
    int badServed = 0;
    int valid = 0;
    for (int i = 0; i < ROUNDS; i++) {
      String txn = Rig.newId();
      try (Rig.Client usual = new Rig.Client(gateway.listen, "usual");
          Rig.Client bad = new Rig.Client(gateway.listen, "bad")) {
        usual.execute("status-lookup", txn, LIMIT_MS, "site-surabaya", null, "select a from builds_1.runs");
        Rig.pause(BAD_AFTER_MS);
        long badSentNanos = 0;
        if (rig.trouble) {
          bad.execute("status-lookup", txn, LIMIT_MS, "site-surabaya", null, "select b from builds_2.runs");
          badSentNanos = System.nanoTime();
        }
        Rig.Reply reply = usual.reply(LIMIT_MS + 1_000);
        rig.note("usual client, txn=" + txn + ": " + reply.kind() + " " + reply.body().strip());
        usualServed += reply.kind().equals("ANSWER") && reply.body().startsWith("select a") ? 1 : 0;
        if (rig.trouble) {
          boolean wasOpen = wasOpen(nodes, txn, badSentNanos);
          String kind = badReply(bad);
          rig.note("bad client, txn=" + txn + ", open then: " + wasOpen + ": " + kind);
          valid += wasOpen ? 1 : 0;
          badServed += wasOpen && kind.startsWith("ANSWER") ? 1 : 0;
        }
      }
    }
    gateway.recordLog(20);
    rig.note("served: " + usualServed + " of " + ROUNDS + " usual requests, " + badServed + " of " + valid
        + " bad ones whose id was open");
    if (usualServed < ROUNDS || rig.trouble && valid == 0) {
      throw new IllegalStateException("the usual requests were not served, or no id was open");
    }
    return badServed == 0;
  }

  /** Whether no node had answered an id at a time. */
  private static boolean wasOpen(List<Rig.Node> nodes, String txn, long nanos) {
    return nodes.stream()
        .flatMap(n -> n.asks.stream())
        .filter(a -> a.id.equals(txn) && a.endedNanos != 0)
        .allMatch(a -> a.endedNanos > nanos);
  }

  private static String badReply(Rig.Client bad) {
    try {
      Rig.Reply reply = bad.reply(LIMIT_MS + 1_000);
      return reply.kind() + " " + reply.body().strip();
    } catch (IOException e) {
      return "closed";
    }
  }
}
