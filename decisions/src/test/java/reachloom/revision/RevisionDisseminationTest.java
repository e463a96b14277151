package reachloom.revision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Revisions are put in force at all members, even under packet loss, partitions, pauses, restarts
 * and members that send invalid data.
 */
class RevisionDisseminationTest {
  private static final int DOCUMENT_BYTES = 4_096; // of an ordinary document
  private static final long UNISSUED = 1L << 62; // a number that is never issued
  private static final double OBJECTIVE_SECONDS = 10; // until a revision is in force everywhere

  /** A network in which a first revision is in force at all members. */
  private static SimulatedNetwork converged(long seed, int members, double loss) {
    SimulatedNetwork net = new SimulatedNetwork(seed, members, loss);
    net.run(3);
    net.issue(0, SimulatedNetwork.document(DOCUMENT_BYTES, 1));
    net.run(12);
    assertEquals(members, net.countInForce(1));
    return net;
  }

  private static void assertInForceEverywhere(
      SimulatedNetwork net, long sinceNanos, long number, double withinSeconds) {
    double[] seconds = net.secondsUntilInForce(sinceNanos, number);
    assertTrue(
        seconds[0] >= 0 && seconds[seconds.length - 1] <= withinSeconds,
        "from " + seconds[0] + " to " + seconds[seconds.length - 1] + " s");
    assertEquals(seconds.length, net.countInForce(number));
  }

  @Test
  void putsChangesInForceWithinObjective() {
    SimulatedNetwork net = converged(1, 580, 0.02);
    for (int k = 2; k <= 4; k++) {
      long at = net.now;
      net.issue(k % 5, SimulatedNetwork.document(DOCUMENT_BYTES, k));
      net.run(6);
      assertInForceEverywhere(net, at, k, 5);
      assertEquals(580, net.knownInForce(net.nodes.get(k % 5), k), "known to be in force");
    }
    assertTrue(
        net.peakMemberBytesPerSecond() <= 17_000,
        net.peakMemberBytesPerSecond() + " bytes in a second");
  }

  @Test
  void largestDocumentReachesMembersThatHoldNone() {
    SimulatedNetwork net = new SimulatedNetwork(2, 580, 0.02);
    net.run(3);
    long at = net.now;
    net.issue(3, SimulatedNetwork.document(Revision.MAX_DOCUMENT_BYTES, 1));
    net.run(OBJECTIVE_SECONDS);
    assertInForceEverywhere(net, at, 1, OBJECTIVE_SECONDS);
  }

  @Test
  void issuerRejectsDocumentOneByteOverLimit() {
    SimulatedNetwork net = converged(3, 20, 0);
    net.issue(0, SimulatedNetwork.document(Revision.MAX_DOCUMENT_BYTES + 1, 2));
    net.run(5);
    assertEquals(20, net.countInForce(1));
    assertEquals(1, net.nodes.get(0).alarms.size());
    assertTrue(net.nodes.get(0).alarms.get(0).contains("16385 bytes, of 16384 at most"));
  }

  @Test
  void toleratesThirtyPercentPacketLoss() {
    SimulatedNetwork net = converged(4, 120, 0.3);
    for (int k = 2; k <= 5; k++) {
      long at = net.now;
      net.issue(k % 5, SimulatedNetwork.document(DOCUMENT_BYTES, k));
      net.run(OBJECTIVE_SECONDS);
      assertInForceEverywhere(net, at, k, OBJECTIVE_SECONDS);
    }
    net.run(20);
    assertEquals(120, net.knownInForce(net.nodes.get(0), 5));
  }

  @Test
  void toleratesAOneWayPartitionBetweenRegions() {
    SimulatedNetwork net = converged(5, 60, 0.02);
    net.cut = (from, to) -> net.region(from) == 1 && net.region(to) == 2;
    long at = net.now;
    net.issue(0, SimulatedNetwork.document(DOCUMENT_BYTES, 2)); // in region 1
    net.run(OBJECTIVE_SECONDS);
    assertInForceEverywhere(net, at, 2, OBJECTIVE_SECONDS);
  }

  @Test
  void conflictingRevisionsAreRejectedWithOneAlarmEach() {
    SimulatedNetwork net = converged(6, 30, 0);
    Revision first = net.nodes.get(0).dissemination.newest().orElseThrow().revision();
    RevisionMessage.Notice sameNumber =
        net.certify(null, SimulatedNetwork.document(DOCUMENT_BYTES, 66));
    RevisionMessage.Notice nextOfOther =
        net.certify(sameNumber.revision(), SimulatedNetwork.document(DOCUMENT_BYTES, 67));
    RevisionMessage.Notice afterThat =
        net.certify(nextOfOther.revision(), SimulatedNetwork.document(DOCUMENT_BYTES, 68));
    SimulatedNetwork.Node forking = net.members().get(0);
    for (int again = 0; again < 3; again++) {
      net.members().stream()
          .skip(1)
          .forEach(
              n ->
                  n.dissemination.receive(
                      net.now, forking.peer, List.of(sameNumber, nextOfOther, afterThat)));
      net.run(2);
    }
    net.members().stream()
        .skip(1)
        .forEach(
            n -> {
              assertEquals(first, n.dissemination.newest().orElseThrow().revision());
              assertEquals(3, n.alarms.size(), "one alarm for each of the three");
              assertTrue(
                  n.dissemination.statusLines(net.now).stream()
                      .anyMatch(l -> l.startsWith("fork: another revision 1 ")));
            });
    net.issue(0, SimulatedNetwork.document(DOCUMENT_BYTES, 2));
    net.run(5);
    assertEquals(30, net.countInForce(2));
  }

  @Test
  void corruptedChunksAndInvalidVotesAreRejected() {
    SimulatedNetwork net = new SimulatedNetwork(7, 40, 0.02);
    List<SimulatedNetwork.Node> corrupting = net.members().subList(0, 5);
    corrupting.forEach(
        node ->
            node.tamper =
                messages -> messages.stream().map(RevisionDisseminationTest::corrupted).toList());
    net.run(3);
    for (int k = 1; k <= 4; k++) {
      long at = net.now;
      net.issue(0, SimulatedNetwork.document(DOCUMENT_BYTES, k));
      net.run(OBJECTIVE_SECONDS);
      assertInForceEverywhere(net, at, k, OBJECTIVE_SECONDS); // each host compares the digest
    }
  }

  /** Corrupts a byte of a chunk, and the revision of a notice; leaves other messages unchanged. */
  private static RevisionMessage corrupted(RevisionMessage message) {
    if (message instanceof RevisionMessage.Chunk chunk && chunk.bytes().length > 0) {
      byte[] bytes = chunk.bytes().clone();
      bytes[0]++;
      return new RevisionMessage.Chunk(
          chunk.number(), chunk.base(), chunk.index(), chunk.of(), bytes);
    }
    if (message instanceof RevisionMessage.Notice notice) {
      Revision other = Revision.after(notice.revision(), new byte[9], 1, "i0");
      return new RevisionMessage.Notice(other, notice.votes());
    }
    return message;
  }

  /** Replaces a member's reports by claims of a revision that no issuer has issued. */
  private static RevisionMessage withUnprovenClaims(RevisionMessage message) {
    if (message instanceof RevisionMessage.Have) {
      return new RevisionMessage.Have(UNISSUED, 7, UNISSUED);
    }
    if (message instanceof RevisionMessage.Census census) {
      return new RevisionMessage.Census(census.place(), UNISSUED, 9, 9, 0, List.of(), 0);
    }
    return message;
  }

  private static boolean requestsNewest(RevisionMessage message) {
    return message instanceof RevisionMessage.Want want && want.number() == 0;
  }

  @Test
  void peerWithUnprovenClaimsIsBackedOff() {
    SimulatedNetwork net = converged(8, 30, 0);
    SimulatedNetwork.Node claiming = net.members().get(0);
    int[] queries = new int[1];
    net.nodes.stream()
        .filter(node -> node != claiming)
        .forEach(
            node ->
                node.tamper =
                    messages -> {
                      queries[0] +=
                          messages.stream().anyMatch(RevisionDisseminationTest::requestsNewest)
                              ? 1
                              : 0;
                      return messages;
                    });
    claiming.tamper =
        messages -> messages.stream().map(RevisionDisseminationTest::withUnprovenClaims).toList();
    net.run(60);
    assertTrue(queries[0] <= 34 * 6, queries[0] + " queries of 34 peers in a minute");
    long at = net.now;
    net.issue(0, SimulatedNetwork.document(DOCUMENT_BYTES, 2));
    net.run(5);
    assertInForceEverywhere(net, at, 2, 5);
    assertTrue(
        net.nodes.get(1).dissemination.statusLines(net.now).stream()
            .noneMatch(line -> line.contains(Long.toString(UNISSUED))));
  }

  @Test
  void pausedMemberCatchesUpWithoutPenalizingPeers() {
    SimulatedNetwork net = converged(9, 30, 0.02);
    SimulatedNetwork.Node paused = net.members().get(4);
    paused.pausedUntilNanos = net.now + 20 * SimulatedNetwork.SECOND;
    for (int k = 2; k <= 4; k++) {
      net.run(5);
      net.issue(k % 5, SimulatedNetwork.document(DOCUMENT_BYTES, k));
    }
    net.run(4);
    assertEquals(29, net.countInForce(4));
    assertEquals(1, paused.inForce());
    net.run(4); // 3 s after it resumed
    assertEquals(4, paused.inForce());
    assertTrue(
        paused.dissemination.statusLines(net.now).stream().noneMatch(l -> l.startsWith("rested")),
        "no peer is backed off");
  }

  @Test
  void newestOfTenRapidRevisionsIsInForce() {
    SimulatedNetwork net = converged(10, 60, 0.02);
    for (int k = 2; k <= 11; k++) {
      net.run(0.2);
      net.issue(0, SimulatedNetwork.document(DOCUMENT_BYTES, k));
    }
    long at = net.now;
    net.run(OBJECTIVE_SECONDS);
    assertInForceEverywhere(net, at, 11, 5);
    net.members()
        .forEach(
            n -> {
              List<Long> order = new ArrayList<>(n.inForceAtNanos.values());
              assertEquals(
                  order.stream().sorted().toList(), order, "no older revision after a newer one");
            });
    assertTrue(net.peakMemberBytesPerSecond() <= 17_000);
  }

  @Test
  void membersRestartedWithoutStateFetchTheNewest() {
    SimulatedNetwork net = converged(11, 200, 0.02);
    net.members()
        .forEach(
            n -> {
              n.start();
              n.inForceAtNanos.clear();
            });
    long at = net.now;
    net.run(OBJECTIVE_SECONDS);
    assertInForceEverywhere(net, at, 1, OBJECTIVE_SECONDS);
  }

  @Test
  void hostRejectionKeepsPreviousRevisionInForce() {
    SimulatedNetwork net = converged(12, 30, 0.02);
    net.members().stream().limit(4).forEach(n -> n.rejecting = true);
    net.issue(0, SimulatedNetwork.document(DOCUMENT_BYTES, 2));
    net.run(5);
    assertEquals(26, net.countInForce(2));
    assertEquals(4, net.countInForce(1));
    List<RevisionMessage.Census> censuses = net.nodes.get(2).dissemination.censuses();
    assertEquals(4, censuses.stream().mapToInt(RevisionMessage.Census::refused).sum());
    assertEquals(26, censuses.stream().mapToInt(RevisionMessage.Census::inForce).sum());
    SimulatedNetwork.Node one = net.members().get(0);
    assertEquals(2, one.applied, "a rejected revision is not applied again");
    assertTrue(
        one.dissemination.statusLines(net.now).contains("revision 2 refused: key x: not known"));
    net.members().forEach(n -> n.rejecting = false);
    net.issue(0, SimulatedNetwork.document(DOCUMENT_BYTES, 3));
    net.run(5);
    assertEquals(30, net.countInForce(3));
  }

  @Test
  void healedPartitionConvergesToTheNewest() {
    SimulatedNetwork net = converged(13, 90, 0.02);
    net.cut = (from, to) -> (net.region(from) == 3) != (net.region(to) == 3);
    net.sees = (one, other) -> !net.cut.test(one, other);
    net.updatePresence();
    for (int k = 2; k <= 4; k++) {
      net.run(30);
      net.issue(
          0,
          SimulatedNetwork.document(
              DOCUMENT_BYTES, k)); // a majority of the issuers is on that side
    }
    net.run(5);
    assertEquals(90 - 27, net.countInForce(4));
    assertEquals(27, net.countInForce(1));
    net.cut = (from, to) -> false; // presence is not updated before the objective is over
    long at = net.now;
    net.run(OBJECTIVE_SECONDS);
    // Times count from 100 s before the partition healed: the other members already had revision 4.
    assertInForceEverywhere(net, at - 100 * SimulatedNetwork.SECOND, 4, 100 + OBJECTIVE_SECONDS);
    assertEquals(
        4,
        net.nodes.get(2).dissemination.newest().orElseThrow().revision().number(),
        "the issuer that was cut off");
    assertEquals(90, net.knownInForce(net.nodes.get(0), 4));
  }

  @Test
  void restartedMembersFetchNewestFromPeersWithoutIssuers() {
    SimulatedNetwork net = converged(14, 30, 0.02);
    net.nodes.stream().filter(n -> n.issuer).forEach(n -> n.up = false);
    net.updatePresence();
    net.run(30);
    SimulatedNetwork.Node one = net.members().get(3);
    one.start();
    net.run(5);
    assertEquals(30, net.countInForce(1));
    String line = net.members().get(5).dissemination.statusLines(net.now).get(0);
    assertTrue(
        line.matches(
            "revision 1 in force, newest known 1 since [0-9.]+ s, "
                + "issuers heard [34][0-9]\\.[0-9] s ago"),
        line);
  }

  @Test
  void fetchesProposalOnlyFromQueriedPeerWithoutActivation() {
    SimulatedNetwork net = converged(15, 20, 0.02);
    byte[] document = SimulatedNetwork.document(DOCUMENT_BYTES, 2);
    Revision proposal =
        Revision.after(
            net.nodes.get(0).dissemination.newest().orElseThrow().revision(), document, 1, "i0");
    net.nodes.get(0).dissemination.addProposal(proposal, document);
    List<Optional<byte[]>> fetched = new ArrayList<>();
    net.nodes
        .get(1)
        .dissemination
        .fetchProposal(net.now, proposal, net.nodes.get(0).peer, fetched::add);
    net.nodes
        .get(2)
        .dissemination
        .fetchProposal(net.now, proposal, net.nodes.get(3).peer, fetched::add);
    net.run(8);
    assertEquals(2, fetched.size());
    assertTrue(proposal.describes(fetched.get(0).orElseThrow()));
    assertEquals(Optional.empty(), fetched.get(1), "the queried peer does not hold it");
    assertEquals(20, net.countInForce(1));
  }

  @Test
  void formerAggregatorsDoNotDisplaceElectedOnes() {
    SimulatedNetwork net = new SimulatedNetwork(18, 100, 0.02);
    net.sees = (one, other) -> one.issuer; // each member sees only itself at its place
    net.run(3);
    net.issue(0, SimulatedNetwork.document(DOCUMENT_BYTES, 1));
    net.run(3);
    net.sees = (one, other) -> true;
    net.updatePresence();
    net.run(5);
    assertEquals(100, net.countInForce(1));
    assertEquals(100, net.knownInForce(net.nodes.get(0), 1));
  }

  @Test
  void sameSeedGivesTheSameMessages() {
    assertEquals(converged(16, 40, 0.1).trace, converged(16, 40, 0.1).trace);
    assertNotEquals(converged(16, 40, 0.1).trace, converged(17, 40, 0.1).trace);
  }
}
