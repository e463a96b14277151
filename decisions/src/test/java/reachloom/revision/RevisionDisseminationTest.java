package reachloom.revision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * A revision gets everywhere, also where the network, members and issuers do what they should not.
 */
class RevisionDisseminationTest {
  private static final int SIZE = 4_096; // of a usual document
  private static final double AIM = 10; // seconds until a revision is in force everywhere

  /** A network in which a first revision is in force everywhere. */
  private static Net settled(long seed, int members, double loss) {
    Net net = new Net(seed, members, loss);
    net.run(3);
    net.issue(0, Net.document(SIZE, 1));
    net.run(12);
    assertEquals(members, net.inForce(1));
    return net;
  }

  private static void assertEverywhere(Net net, long since, long number, double within) {
    double[] times = net.times(since, number);
    assertTrue(
        times[0] >= 0 && times[times.length - 1] <= within,
        "from " + times[0] + " to " + times[times.length - 1] + " s");
    assertEquals(times.length, net.inForce(number));
  }

  @Test
  void changesAreInForceOnFiveHundredAndEightyWithinTheAims() {
    Net net = settled(1, 580, 0.02);
    for (int k = 2; k <= 4; k++) {
      long at = net.now;
      net.issue(k % 5, Net.document(SIZE, k));
      net.run(6);
      assertEverywhere(net, at, k, 5);
      assertEquals(580, net.told(net.nodes.get(k % 5), k), "known to be in force");
    }
    assertTrue(net.mostBytes(false) <= 17_000, net.mostBytes(false) + " bytes in a second");
  }

  @Test
  void theLargestReachesAllThatHoldNone() {
    Net net = new Net(2, 580, 0.02);
    net.run(3);
    long at = net.now;
    net.issue(3, Net.document(Revision.MAX_DOCUMENT_BYTES, 1));
    net.run(AIM);
    assertEverywhere(net, at, 1, AIM);
  }

  @Test
  void oneByteOverIsRefusedAtTheSource() {
    Net net = settled(3, 20, 0);
    net.issue(0, Net.document(Revision.MAX_DOCUMENT_BYTES + 1, 2));
    net.run(5);
    assertEquals(20, net.inForce(1));
    assertEquals(1, net.nodes.get(0).alarms.size());
    assertTrue(net.nodes.get(0).alarms.get(0).contains("16385 bytes, of 16384 at most"));
  }

  @Test
  void thirtyPercentLossIsBorne() {
    Net net = settled(4, 120, 0.3);
    for (int k = 2; k <= 5; k++) {
      long at = net.now;
      net.issue(k % 5, Net.document(SIZE, k));
      net.run(AIM);
      assertEverywhere(net, at, k, AIM);
    }
    net.run(20);
    assertEquals(120, net.told(net.nodes.get(0), 5));
  }

  @Test
  void oneWayCutBetweenRegionsIsGoneAround() {
    Net net = settled(5, 60, 0.02);
    net.cut = (from, to) -> net.region(from) == 1 && net.region(to) == 2;
    long at = net.now;
    net.issue(0, Net.document(SIZE, 2)); // in region 1
    net.run(AIM);
    assertEverywhere(net, at, 2, AIM);
  }

  @Test
  void aForkIsNeverTakenAndIsTold() {
    Net net = settled(6, 30, 0);
    Revision first = net.nodes.get(0).it.newest().orElseThrow().revision();
    RevisionMessage.Notice sameNumber = net.sign(null, Net.document(SIZE, 66));
    RevisionMessage.Notice nextOfOther = net.sign(sameNumber.revision(), Net.document(SIZE, 67));
    RevisionMessage.Notice afterThat = net.sign(nextOfOther.revision(), Net.document(SIZE, 68));
    Net.Node liar = net.members().get(0);
    for (int again = 0; again < 3; again++) {
      net.members().stream()
          .skip(1)
          .forEach(n -> n.it.hear(net.now, liar.peer, List.of(sameNumber, nextOfOther, afterThat)));
      net.run(2);
    }
    net.members().stream()
        .skip(1)
        .forEach(
            n -> {
              assertEquals(first, n.it.newest().orElseThrow().revision());
              assertEquals(3, n.alarms.size(), "each of the three once");
              assertTrue(
                  n.it.lines(net.now).stream()
                      .anyMatch(l -> l.startsWith("fork: another revision 1 ")));
            });
    net.issue(0, Net.document(SIZE, 2));
    net.run(5);
    assertEquals(30, net.inForce(2));
  }

  @Test
  void alteredBytesAndFalseVotesAreNotTaken() {
    Net net = new Net(7, 40, 0.02);
    List<Net.Node> liars = net.members().subList(0, 5);
    liars.forEach(
        l ->
            l.lie =
                words ->
                    words.stream()
                        .map(
                            w -> {
                              if (w instanceof RevisionMessage.Piece p && p.bytes().length > 0) {
                                byte[] other = p.bytes().clone();
                                other[0]++;
                                return new RevisionMessage.Piece(
                                    p.number(), p.base(), p.index(), p.of(), other);
                              }
                              return w instanceof RevisionMessage.Notice n
                                  ? new RevisionMessage.Notice(
                                      Revision.after(n.revision(), new byte[9], 1, "i0"), n.votes())
                                  : w;
                            })
                        .toList());
    net.run(3);
    for (int k = 1; k <= 4; k++) {
      long at = net.now;
      net.issue(0, Net.document(SIZE, k));
      net.run(AIM);
      assertEverywhere(net, at, k, AIM); // the host of each looks at the digest
    }
  }

  @Test
  void whoTellsOfANumberItCanNotProveIsAskedRarely() {
    Net net = settled(8, 30, 0);
    Net.Node liar = net.members().get(0);
    int[] asked = new int[1];
    net.nodes.stream()
        .filter(n -> n != liar)
        .forEach(
            n ->
                n.lie =
                    words -> {
                      asked[0] +=
                          words.stream()
                                  .anyMatch(
                                      w ->
                                          w instanceof RevisionMessage.Want want
                                              && want.number() == 0)
                              ? 1
                              : 0;
                      return words;
                    });
    liar.lie =
        words ->
            words.stream()
                .map(
                    w ->
                        w instanceof RevisionMessage.Have
                            ? new RevisionMessage.Have(1L << 62, 7, 1L << 62)
                            : w instanceof RevisionMessage.Census c
                                ? new RevisionMessage.Census(
                                    c.place(), 1L << 62, 9, 9, 0, List.of(), 0)
                                : w)
                .toList();
    net.run(60);
    assertTrue(asked[0] <= 34 * 6, asked[0] + " questions of 34 in a minute");
    long at = net.now;
    net.issue(0, Net.document(SIZE, 2));
    net.run(5);
    assertEverywhere(net, at, 2, 5);
    assertTrue(
        net.nodes.get(1).it.lines(net.now).stream()
            .noneMatch(l -> l.contains("4611686018427387904")));
  }

  @Test
  void aMemberThatStoodStillWakesUpToTheNewest() {
    Net net = settled(9, 30, 0.02);
    Net.Node still = net.members().get(4);
    still.stalledUntil = net.now + 20 * Net.SECOND;
    for (int k = 2; k <= 4; k++) {
      net.run(5);
      net.issue(k % 5, Net.document(SIZE, k));
    }
    net.run(4);
    assertEquals(29, net.inForce(4));
    assertEquals(1, still.inForce());
    net.run(4); // 3 s after it went on
    assertEquals(4, still.inForce());
    assertTrue(
        still.it.lines(net.now).stream().noneMatch(l -> l.startsWith("rested")),
        "nobody is to blame");
  }

  @Test
  void ofTenInTwoSecondsTheNewestIsInForce() {
    Net net = settled(10, 60, 0.02);
    for (int k = 2; k <= 11; k++) {
      net.run(0.2);
      net.issue(0, Net.document(SIZE, k));
    }
    long at = net.now;
    net.run(AIM);
    assertEverywhere(net, at, 11, 5);
    net.members()
        .forEach(
            n -> {
              List<Long> order = new ArrayList<>(n.inForceAt.values());
              assertEquals(
                  order.stream().sorted().toList(), order, "never an older one after a newer one");
            });
    assertTrue(net.mostBytes(false) <= 17_000);
  }

  @Test
  void allRestartedWithNothingGetItAgain() {
    Net net = settled(11, 200, 0.02);
    net.members()
        .forEach(
            n -> {
              n.start();
              n.inForceAt.clear();
            });
    long at = net.now;
    net.run(AIM);
    assertEverywhere(net, at, 1, AIM);
  }

  @Test
  void oneThatDoesNotCheckIsRefusedAndTheOneBeforeStays() {
    Net net = settled(12, 30, 0.02);
    net.members().stream().limit(4).forEach(n -> n.refuses = true);
    net.issue(0, Net.document(SIZE, 2));
    net.run(5);
    assertEquals(26, net.inForce(2));
    assertEquals(4, net.inForce(1));
    List<RevisionMessage.Census> told = net.nodes.get(2).it.censuses();
    assertEquals(4, told.stream().mapToInt(RevisionMessage.Census::refused).sum());
    assertEquals(26, told.stream().mapToInt(RevisionMessage.Census::inForce).sum());
    Net.Node one = net.members().get(0);
    assertEquals(2, one.applied, "it is not tried again");
    assertTrue(one.it.lines(net.now).contains("revision 2 refused: key x: not known"));
    net.members().forEach(n -> n.refuses = false);
    net.issue(0, Net.document(SIZE, 3));
    net.run(5);
    assertEquals(30, net.inForce(3));
  }

  @Test
  void regionsThatWereApartHaveTheNewestSoonAfter() {
    Net net = settled(13, 90, 0.02);
    net.cut = (from, to) -> (net.region(from) == 3) != (net.region(to) == 3);
    net.sees = (one, other) -> !net.cut.test(one, other);
    net.present();
    for (int k = 2; k <= 4; k++) {
      net.run(30);
      net.issue(0, Net.document(SIZE, k)); // three issuers are on that side
    }
    net.run(5);
    assertEquals(90 - 27, net.inForce(4));
    assertEquals(27, net.inForce(1));
    net.cut = (from, to) -> false; // who is present is not known anew before the aim is over
    long at = net.now;
    net.run(AIM);
    assertEverywhere(net, at - 100 * Net.SECOND, 4, 100 + AIM);
    assertEquals(
        4,
        net.nodes.get(2).it.newest().orElseThrow().revision().number(),
        "the issuer that was apart");
    assertEquals(90, net.told(net.nodes.get(0), 4));
  }

  @Test
  void withoutIssuersTheNewestServesOnAndReachesNewcomers() {
    Net net = settled(14, 30, 0.02);
    net.nodes.stream().filter(n -> n.issuer).forEach(n -> n.up = false);
    net.present();
    net.run(30);
    Net.Node one = net.members().get(3);
    one.start();
    net.run(5);
    assertEquals(30, net.inForce(1));
    String line = net.members().get(5).it.lines(net.now).get(0);
    assertTrue(
        line.matches(
            "revision 1 in force, newest known 1 since [0-9.]+ s, "
                + "issuers heard [34][0-9]\\.[0-9] s ago"),
        line);
  }

  @Test
  void draftsAreFetchedFromWhoProposesThemAndNobodyElseTakesThem() {
    Net net = settled(15, 20, 0.02);
    byte[] document = Net.document(SIZE, 2);
    Revision draft =
        Revision.after(net.nodes.get(0).it.newest().orElseThrow().revision(), document, 1, "i0");
    net.nodes.get(0).it.draft(draft, document);
    List<Optional<byte[]>> got = new ArrayList<>();
    net.nodes.get(1).it.fetchDraft(net.now, draft, net.nodes.get(0).peer, got::add);
    net.nodes.get(2).it.fetchDraft(net.now, draft, net.nodes.get(3).peer, got::add);
    net.run(8);
    assertEquals(2, got.size());
    assertTrue(draft.describes(got.get(0).orElseThrow()));
    assertEquals(Optional.empty(), got.get(1), "who was asked does not have it");
    assertEquals(20, net.inForce(1));
  }

  @Test
  void whoCountedBeforeAllWereKnownStandsInNobodysWay() {
    Net net = new Net(18, 100, 0.02);
    net.sees = (one, other) -> one.issuer; // each member alone counts for its place
    net.run(3);
    net.issue(0, Net.document(SIZE, 1));
    net.run(3);
    net.sees = (one, other) -> true;
    net.present();
    net.run(5);
    assertEquals(100, net.inForce(1));
    assertEquals(100, net.told(net.nodes.get(0), 1));
  }

  @Test
  void theSeedDecidesEverything() {
    assertEquals(settled(16, 40, 0.1).trace, settled(16, 40, 0.1).trace);
    assertNotEquals(settled(16, 40, 0.1).trace, settled(17, 40, 0.1).trace);
  }
}
