package reachloom.revision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import reachloom.revision.ProposalResult.Kind;

/** Consensus among issuers under message loss, partitions, pauses, crashes and lost stores. */
class ConsensusNodeTest {
  private static final long MILLISECOND = SimulatedIssuers.MILLISECOND;
  private static final long SECOND = SimulatedIssuers.SECOND;
  private static final int SEEDS = 300;
  private static final int LONG_SEEDS = 150; // for tests with many steps per seed

  private static Kind lastKind(List<ProposalResult> results) {
    return results.isEmpty() ? null : results.get(results.size() - 1).kind();
  }

  private static boolean hasFinalResult(List<ProposalResult> results) {
    return !results.isEmpty() && results.get(results.size() - 1).isFinal();
  }

  /** Asserts that the results reported for a document agree with the log. */
  private static void assertConsistent(
      SimulatedIssuers net, String document, List<ProposalResult> results) {
    long occurrences =
        net.log.values().stream().filter(r -> r.describes(document.getBytes())).count();
    for (ProposalResult r : results) {
      if (r.kind() == Kind.ISSUED) {
        assertEquals(1, occurrences, document + " was reported as issued");
        assertTrue(net.log.get(r.number()).describes(document.getBytes()));
      } else if (r.isFinal() && r.kind() != Kind.OVERTAKEN) {
        assertEquals(0, occurrences, document + ": " + r);
      }
    }
    assertTrue(occurrences <= 1, document + " was issued twice");
    assertTrue(results.size() <= 2, "more than two results: " + results);
  }

  @Test
  void issuesTwoDocumentsInOrder() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    List<ProposalResult> first = net.node(1).propose("{\"a\":1}");
    assertTrue(net.await(SECOND, () -> hasFinalResult(first)));
    assertEquals(new ProposalResult(Kind.ISSUED, 1, "issued as revision 1"), first.get(0));
    List<ProposalResult> second = net.node(3).propose("{\"a\":2}");
    assertTrue(net.await(SECOND, () -> hasFinalResult(second)));
    assertEquals(2, second.get(0).number());
    assertTrue(net.await(2 * SECOND, net::hasConverged));
    assertEquals("{\"a\":2}", net.node(5).document());
    assertEquals(2, net.node(5).consensus.newestNumber());
  }

  @Test
  void singleIssuerIssuesImmediately() {
    SimulatedIssuers net = new SimulatedIssuers(1, 1);
    assertEquals(Kind.ISSUED, lastKind(net.node(1).propose("x")));
    assertEquals(Kind.ISSUED, lastKind(net.node(1).propose("y")));
    assertEquals(2, net.node(1).number());
  }

  @Test
  void ordersConcurrentProposalsOfTwoIssuers() {
    for (int seed = 0; seed < SEEDS; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(5, seed);
      net.lossRate = seed % 3 * 0.1;
      net.duplicationRate = 0.1;
      net.sendFailureRate = seed % 2 * 0.1;
      net.delayNanos = (1 + seed % 5 * 40) * MILLISECOND;
      List<ProposalResult> one = net.node(1).propose("one");
      List<ProposalResult> two = net.node(2).propose("two");
      assertTrue(
          net.await(
              20 * SECOND, () -> hasFinalResult(one) && hasFinalResult(two) && net.hasConverged()),
          "seed " + seed);
      assertConsistent(net, "one", one);
      assertConsistent(net, "two", two);
      assertEquals(Kind.ISSUED, lastKind(one), "seed " + seed);
      assertEquals(Kind.ISSUED, lastKind(two), "seed " + seed);
      assertEquals(2, net.log.size(), "seed " + seed);
    }
  }

  @Test
  void issuesNewestOfTenRapidSubmissions() {
    for (int seed = 0; seed < SEEDS / 10; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(5, seed);
      net.delayNanos = 50 * MILLISECOND;
      net.lossRate = 0.05;
      List<List<ProposalResult>> all = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        all.add(net.node(1).propose("document " + i));
        net.advance(200 * MILLISECOND);
      }
      assertTrue(
          net.await(
              20 * SECOND,
              () ->
                  all.stream().allMatch(ConsensusNodeTest::hasFinalResult) && net.hasConverged()));
      for (int i = 0; i < 10; i++) {
        assertConsistent(net, "document " + i, all.get(i));
      }
      assertEquals(Kind.ISSUED, lastKind(all.get(9)), "seed " + seed);
      assertEquals("document 9", net.node(4).document());
    }
  }

  @Test
  void completesOrDropsProposalOfCrashedIssuer() {
    int finished = 0;
    int dropped = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(5, seed);
      net.lossRate = seed % 4 * 0.1;
      net.delayNanos = 20 * MILLISECOND;
      net.node(1).propose("half");
      net.advance(net.random.nextLong(200) * MILLISECOND); // in any phase
      net.node(1).crash();
      boolean decided = net.log.containsKey(1L);
      List<ProposalResult> next = net.node(2).propose("next");
      assertTrue(
          net.await(20 * SECOND, () -> hasFinalResult(next) && net.hasConverged()), "seed " + seed);
      assertEquals(Kind.ISSUED, lastKind(next), "seed " + seed);
      assertConsistent(net, "next", next);
      assertEquals("next", net.node(3).document(), "seed " + seed);
      boolean issued = net.log.size() == 2;
      assertTrue(issued || !decided, "seed " + seed);
      finished += issued ? 1 : 0;
      dropped += issued ? 0 : 1;
      net.node(1).start(); // with the state in its store
      assertTrue(net.await(20 * SECOND, net::hasConverged), "seed " + seed);
      assertEquals(issued ? 2 : 1, net.log.size(), "seed " + seed);
    }
    assertTrue(
        finished > SEEDS / 10 && dropped > SEEDS / 10, finished + " finished, " + dropped + " not");
  }

  @Test
  void dropsCrashedIssuersProposalWithoutOtherAcceptors() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    net.node(1).suppressed = message -> message instanceof RevisionMessage.Propose;
    net.node(1).propose("half");
    net.advance(SECOND);
    net.node(1).crash();
    net.advance(20 * SECOND);
    assertEquals(0, net.log.size());
    net.node(2).propose("next");
    assertTrue(net.await(SECOND, () -> net.log.size() == 1));
    assertTrue(net.log.get(1L).describes("next".getBytes()));
    net.node(1).suppressed = message -> false;
    net.node(1).start();
    net.advance(20 * SECOND);
    assertEquals(1, net.log.size());
  }

  @Test
  void nextProposerCompletesProposalOfCrashedIssuer() {
    SimulatedIssuers net = new SimulatedIssuers(3, 1);
    net.node(1).suppressed = message -> message instanceof RevisionMessage.Notice;
    net.node(3).suppressed =
        message ->
            message instanceof RevisionMessage.Accepted
                || message instanceof RevisionMessage.Promise;
    net.node(2).suppressed = message -> message instanceof RevisionMessage.Accepted;
    net.node(1).propose("half");
    assertTrue(net.await(SECOND, () -> net.node(2).disk.state.accepted().isPresent()));
    net.node(1).crash();
    net.node(3).suppressed = message -> false;
    net.node(2).suppressed = message -> false;
    List<ProposalResult> next = net.node(3).propose("next");
    assertTrue(net.await(5 * SECOND, () -> hasFinalResult(next)));
    assertEquals(2, next.get(0).number());
    assertTrue(net.log.get(1L).describes("half".getBytes()));
    assertEquals("c1", net.log.get(1L).issuer());
  }

  @Test
  void completesMajorityAcceptedProposalWithoutNewDocument() {
    for (int seed = 0; seed < 20; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(5, seed);
      for (int i = 2; i <= 5; i++) {
        net.node(i).suppressed = message -> message instanceof RevisionMessage.Accepted;
      }
      net.node(1).propose("half");
      assertTrue(
          net.await(
              SECOND,
              () ->
                  net.nodes.values().stream()
                          .filter(n -> n.disk.state.accepted().isPresent())
                          .count()
                      >= 3));
      net.node(1).crash();
      net.nodes.values().forEach(n -> n.suppressed = message -> false);
      assertTrue(
          net.await(8 * SECOND, () -> net.log.size() == 1 && net.hasConverged()), "seed " + seed);
      assertEquals("half", net.node(4).document());
      net.advance(10 * SECOND);
      assertEquals(1, net.log.size());
    }
  }

  @Test
  void pausedIssuerIssuesNothingAfterResuming() {
    for (int seed = 0; seed < 50; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(5, seed);
      net.delayNanos = 40 * MILLISECOND;
      List<ProposalResult> old = net.node(1).propose("old");
      net.advance(net.random.nextLong(60) * MILLISECOND);
      net.pause(1);
      List<ProposalResult> young = net.node(2).propose("young");
      assertTrue(net.await(10 * SECOND, () -> hasFinalResult(young)), "seed " + seed);
      int before = net.log.size();
      net.advance(20 * SECOND);
      net.resume(1);
      net.advance(20 * SECOND);
      assertEquals(before, net.log.size(), "seed " + seed);
      assertEquals("young", net.node(1).document(), "seed " + seed);
      assertTrue(hasFinalResult(old), "seed " + seed + ": " + old);
      assertConsistent(net, "old", old);
      assertConsistent(net, "young", young);
    }
  }

  @Test
  void withdrawsWaitingDocumentAfterPause() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    net.nodes
        .values()
        .forEach(n -> n.suppressed = message -> message instanceof RevisionMessage.Promise);
    List<ProposalResult> old = net.node(1).propose("old");
    net.advance(100 * MILLISECOND);
    net.pause(1);
    net.advance(5 * SECOND);
    net.nodes.values().forEach(n -> n.suppressed = message -> false);
    net.resume(1);
    net.advance(30 * SECOND);
    assertEquals(Kind.STOOD_STILL, lastKind(old));
    assertEquals(0, old.get(0).number());
    assertEquals(0, net.log.size());
  }

  @Test
  void issuesWithTwoOfFiveIssuersDown() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    net.node(5).crash();
    List<ProposalResult> one = net.node(1).propose("one");
    assertTrue(net.await(SECOND, () -> hasFinalResult(one)));
    net.node(4).crash();
    List<ProposalResult> two = net.node(2).propose("two");
    assertTrue(net.await(SECOND, () -> hasFinalResult(two)));
    assertEquals(Kind.ISSUED, lastKind(one));
    assertEquals(Kind.ISSUED, lastKind(two));
    net.node(4).start();
    net.node(5).start();
    assertTrue(net.await(3 * SECOND, net::hasConverged));
    assertEquals(2, net.node(5).consensus.newestNumber());
    List<ProposalResult> three = net.node(5).propose("three");
    assertTrue(net.await(SECOND, () -> hasFinalResult(three)));
    assertEquals(3, three.get(0).number());
  }

  @Test
  void reportsNoMajorityUntilIssuersRestart() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    for (int i = 3; i <= 5; i++) {
      net.node(i).crash();
    }
    List<ProposalResult> lost = net.node(1).propose("lost");
    assertTrue(net.await(10 * SECOND, () -> !lost.isEmpty()));
    assertEquals(Kind.NO_MAJORITY, lastKind(lost));
    assertTrue(hasFinalResult(lost), "the document was never proposed");
    net.advance(20 * SECOND);
    for (int i = 3; i <= 5; i++) {
      net.node(i).start();
    }
    net.advance(20 * SECOND);
    assertEquals(0, net.log.size(), "a withdrawn document is not issued");
    List<ProposalResult> next = net.node(1).propose("next");
    assertTrue(net.await(SECOND, () -> hasFinalResult(next)));
    assertEquals(Kind.ISSUED, lastKind(next));
  }

  @Test
  void reportsSecondResultForUnresolvedProposal() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    for (int i = 2; i <= 5; i++) {
      net.node(i).suppressed = message -> message instanceof RevisionMessage.Accepted;
    }
    List<ProposalResult> unsure = net.node(1).propose("unsure");
    assertTrue(net.await(10 * SECOND, () -> !unsure.isEmpty()));
    assertEquals(Kind.NO_MAJORITY, lastKind(unsure));
    assertEquals(1, unsure.get(0).number());
    assertFalse(hasFinalResult(unsure));
    net.nodes.values().forEach(n -> n.suppressed = message -> false);
    assertTrue(net.await(10 * SECOND, () -> hasFinalResult(unsure)));
    assertEquals(new ProposalResult(Kind.ISSUED, 1, "issued as revision 1"), unsure.get(1));
  }

  @Test
  void doesNotVoteWhileStoreIsUnwritable() {
    SimulatedIssuers net = new SimulatedIssuers(3, 1);
    net.node(2).disk.failing = true;
    net.node(3).disk.failing = true;
    List<ProposalResult> none = net.node(1).propose("none");
    net.advance(9 * SECOND);
    assertEquals(Kind.NO_MAJORITY, lastKind(none));
    assertEquals(0, net.log.size());
    net.node(3).disk.failing = false;
    List<ProposalResult> one = net.node(1).propose("one");
    assertTrue(net.await(2 * SECOND, () -> hasFinalResult(one)));
    assertEquals(Kind.ISSUED, lastKind(one));
    assertEquals(Optional.empty(), net.node(2).disk.state.newest());
    assertEquals(0, net.node(2).consensus.newestNumber(), "an unsaved revision counts as unknown");
    List<ProposalResult> refused = net.node(2).propose("refused");
    assertEquals(Kind.NOT_SAVED, lastKind(refused));
    assertTrue(hasFinalResult(refused));
    net.node(2).disk.failing = false;
    assertTrue(net.await(2 * SECOND, net::hasConverged));
    assertEquals(1, net.node(2).consensus.newestNumber());
  }

  @Test
  void issuesLargestDocumentAndRejectsLarger() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    List<ProposalResult> tooLarge = net.node(1).propose(new byte[Revision.MAX_DOCUMENT_BYTES + 1]);
    assertEquals(Kind.BAD_SIZE, lastKind(tooLarge));
    assertTrue(tooLarge.get(0).text().contains("16385 bytes"), tooLarge.get(0).text());
    assertEquals(Kind.BAD_SIZE, lastKind(net.node(1).propose(new byte[0])));
    List<ProposalResult> largest = net.node(1).propose(new byte[Revision.MAX_DOCUMENT_BYTES]);
    assertTrue(net.await(SECOND, () -> hasFinalResult(largest)));
    assertEquals(Kind.ISSUED, lastKind(largest));
    assertTrue(net.await(2 * SECOND, net::hasConverged));
    assertEquals(
        Revision.MAX_DOCUMENT_BYTES, net.node(5).document(net.log.get(1L)).orElseThrow().length);
  }

  @Test
  void abstainsAfterLostStoreUntilVotingIsSafe() {
    SimulatedIssuers net = new SimulatedIssuers(3, 1);
    assertTrue(issue(net, 1, "one"));
    net.node(3).crash();
    net.node(3).disk.state = null;
    net.node(3).start();
    assertEquals(Kind.ABSTAINS, lastKind(net.node(3).propose("no")));
    net.advance(70 * SECOND);
    assertEquals(4, net.node(3).disk.state.firstVotingNumber());
    assertEquals(1, net.node(3).consensus.newestNumber(), "it still learns chosen revisions");
    net.node(2).crash(); // two of three are up, and one of them abstains
    List<ProposalResult> none = net.node(1).propose("none");
    net.advance(9 * SECOND);
    assertEquals(Kind.NO_MAJORITY, lastKind(none));
    net.node(2).start();
    assertTrue(issue(net, 1, "two"));
    assertTrue(issue(net, 1, "three"));
    assertTrue(net.await(2 * SECOND, net::hasConverged));
    net.node(2).crash();
    assertTrue(issue(net, 3, "four"));
    assertEquals(4, net.node(1).number());
  }

  private static boolean issue(SimulatedIssuers net, int at, String document) {
    List<ProposalResult> results = net.node(at).propose(document);
    return net.await(5 * SECOND, () -> hasFinalResult(results)) && lastKind(results) == Kind.ISSUED;
  }

  @Test
  void restartedIssuerCatchesUpBeforeProposing() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    net.node(5).crash();
    for (int i = 1; i <= 6; i++) {
      assertTrue(issue(net, 1, "document " + i));
    }
    net.node(5).start();
    List<ProposalResult> late = net.node(5).propose("late");
    assertTrue(net.await(2 * SECOND, () -> hasFinalResult(late)));
    assertEquals(7, late.get(0).number());
  }

  @Test
  void ignoresImplausibleAndForeignBallots() {
    SimulatedIssuers net = new SimulatedIssuers(3, 1);
    Peer c2 = net.node(2).peer();
    net.node(1)
        .consensus
        .receive(net.now, c2, List.of(new RevisionMessage.Prepare(new Ballot(1L << 62, "c2"), 1)));
    net.node(1)
        .consensus
        .receive(net.now, c2, List.of(new RevisionMessage.Prepare(new Ballot(9, "c3"), 1)));
    net.node(1)
        .consensus
        .receive(
            net.now,
            new Peer("stranger", 9, 0),
            List.of(new RevisionMessage.Prepare(new Ballot(9, "stranger"), 1)));
    assertEquals(Ballot.NONE, net.node(1).disk.state.promised());
    assertTrue(issue(net, 1, "one"));
  }

  @Test
  void ignoresForgedVotesAndVotesOfOtherBallots() {
    SimulatedIssuers net = new SimulatedIssuers(3, 1);
    net.node(2).suppressed = message -> message instanceof RevisionMessage.Accepted;
    net.node(3).suppressed = message -> message instanceof RevisionMessage.Accepted;
    net.node(1).propose("one");
    assertTrue(net.await(SECOND, () -> net.node(2).disk.state.accepted().isPresent()));
    ConsensusState state = net.node(2).disk.state;
    Vote forged = new Vote("c2", new byte[32]);
    Peer c2 = net.node(2).peer();
    net.node(1)
        .consensus
        .receive(
            net.now,
            c2,
            List.of(
                new RevisionMessage.Accepted(state.accepted().orElseThrow().ballot(), 1, forged)));
    assertEquals(0, net.log.size());
    byte[] chain =
        new Acceptor("c2", signatures(), net.node(2).disk)
            .state()
            .acceptedRevision()
            .orElseThrow()
            .chain();
    Vote vote = new Vote("c2", signatures().sign(chain));
    Ballot other = new Ballot(state.accepted().orElseThrow().ballot().round() + 1, "c1");
    net.node(1)
        .consensus
        .receive(net.now, c2, List.of(new RevisionMessage.Accepted(other, 1, vote)));
    assertEquals(0, net.log.size());
    net.node(1)
        .consensus
        .receive(
            net.now,
            c2,
            List.of(
                new RevisionMessage.Accepted(state.accepted().orElseThrow().ballot(), 1, vote)));
    assertEquals(1, net.log.size());
  }

  private static SignatureScheme signatures() {
    return SimulatedIssuers.signatures("c2");
  }

  @Test
  void successiveLostStoresCauseNoFork() {
    int resumedVoting = 0;
    for (int seed = 0; seed < LONG_SEEDS / 4; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(3 + 2 * (seed % 2), seed);
      SplittableRandom random = new SplittableRandom(seed);
      int count = net.nodes.size();
      SimulatedIssuers.Node lost = null;
      for (int step = 0; step < 8; step++) {
        net.lossRate = random.nextDouble() * 0.3;
        net.delayNanos = (1 + random.nextInt(100)) * MILLISECOND;
        for (int i = 0; i < 3; i++) {
          net.node(1 + random.nextInt(count)).propose("document " + step + " " + i);
          net.advance(random.nextInt(150) * MILLISECOND);
        }
        SimulatedIssuers.Node n = net.node(1 + random.nextInt(count));
        boolean allVote = net.nodes.values().stream().allMatch(o -> o.disk.mayVote());
        n.crash();
        n.disk.state = allVote ? null : n.disk.state;
        n.start();
        net.node(1 + random.nextInt(count)).propose("document " + step);
        net.advance(random.nextInt(3) == 0 ? 65 * SECOND : random.nextInt(3_000) * MILLISECOND);
        lost = allVote ? n : lost;
        if (lost != null && lost.disk.mayVote()) {
          resumedVoting++;
          lost = null;
        }
      }
      net.lossRate = 0;
      net.advance(65 * SECOND);
      SimulatedIssuers.Node voting =
          net.nodes.values().stream().filter(n -> n.disk.mayVote()).findFirst().orElseThrow();
      List<ProposalResult> end = voting.propose("the end");
      assertTrue(
          net.await(20 * SECOND, () -> lastKind(end) == Kind.ISSUED && net.hasConverged()),
          "seed " + seed);
    }
    assertTrue(resumedVoting > LONG_SEEDS / 8, resumedVoting + " issuers resumed voting");
  }

  @Test
  void proposesRevisionAcceptedUnderHighestBallot() {
    for (boolean reversed : new boolean[] {false, true}) {
      SimulatedIssuers net = new SimulatedIssuers(5, 1);
      net.lossRate = 1;
      SimulatedIssuers.Node n = net.node(1);
      n.propose("own");
      Ballot ownBallot = n.disk.state.promised();
      Revision underLowBallot = addProposal(n, "low");
      Revision underHighBallot = addProposal(n, "high");
      RevisionMessage.Promise low =
          new RevisionMessage.Promise(
              ownBallot, 1, new Ballot(ownBallot.round() - 1, "c2"), Optional.of(underLowBallot));
      RevisionMessage.Promise high =
          new RevisionMessage.Promise(
              ownBallot, 1, new Ballot(ownBallot.round() - 1, "c5"), Optional.of(underHighBallot));
      n.consensus.receive(net.now, net.node(2).peer(), List.of(reversed ? high : low));
      assertEquals(Optional.empty(), n.disk.state.accepted());
      n.consensus.receive(net.now, net.node(3).peer(), List.of(reversed ? low : high));
      assertEquals(Optional.of(underHighBallot), n.disk.state.acceptedRevision());
    }
  }

  private static Revision addProposal(SimulatedIssuers.Node at, String document) {
    Revision revision = Revision.after(null, document.getBytes(), 1, "c4");
    at.addProposal(revision, document.getBytes());
    return revision;
  }

  @Test
  void acceptorRejectsLowerBallotInBothPhases() {
    SimulatedIssuers net = new SimulatedIssuers(3, 1);
    ConsensusState high = ConsensusState.initial().withPromised(new Ballot(9, "c2"));
    net.node(1).disk.state = high;
    Acceptor acceptor = new Acceptor("c1", SimulatedIssuers.signatures("c1"), net.node(1).disk);
    Ballot low = new Ballot(8, "c3");
    Revision revision = addProposal(net.node(1), "low");
    assertEquals(
        Optional.of(new RevisionMessage.Rejected(low, high.promised())),
        acceptor.prepare(new RevisionMessage.Prepare(low, 1), "c3"));
    assertEquals(
        Optional.of(new RevisionMessage.Rejected(low, high.promised())),
        acceptor.propose(new RevisionMessage.Propose(low, revision), "c3", document("low")));
    assertEquals(high, acceptor.state());
    Ballot same = new Ballot(9, "c2");
    assertEquals(
        Optional.empty(),
        acceptor.propose(new RevisionMessage.Propose(same, revision), "c2", Optional.empty()),
        "no vote without the document");
    assertEquals(
        Optional.empty(),
        acceptor.propose(new RevisionMessage.Propose(same, revision), "c2", document("lox")),
        "no vote for another document");
    RevisionMessage answer =
        acceptor
            .propose(new RevisionMessage.Propose(same, revision), "c2", document("low"))
            .orElseThrow();
    assertEquals(same, ((RevisionMessage.Accepted) answer).ballot());
    assertEquals(
        Optional.empty(),
        acceptor.propose(
            new RevisionMessage.Propose(same, addProposal(net.node(1), "two")),
            "c2",
            document("two")),
        "no vote for a second revision under one ballot");
    Revision third = new Revision(3, revision.chain(), revision.digest(), revision.size(), 1, "c2");
    assertEquals(
        Optional.empty(),
        acceptor.propose(new RevisionMessage.Propose(same, third), "c2", document("low")),
        "no vote for a revision that is not the next one");
    assertEquals(Optional.of(revision), acceptor.state().acceptedRevision());
  }

  private static Optional<byte[]> document(String text) {
    return Optional.of(text.getBytes());
  }

  @Test
  void issuesThroughDisseminationDespitePacketLoss() {
    int issued = 0;
    for (int seed = 0; seed < 40; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(5, seed, true);
      boolean large = seed % 2 == 0;
      net.lossRate = large ? 0.02 : 0.3;
      net.delayNanos = 60 * MILLISECOND;
      String one = "1".repeat(large ? Revision.MAX_DOCUMENT_BYTES : 1_024);
      String two = "2".repeat(large ? Revision.MAX_DOCUMENT_BYTES : 1_024);
      List<ProposalResult> first = net.node(1).propose(one);
      List<ProposalResult> second = net.node(2).propose(two);
      assertTrue(
          net.await(
              30 * SECOND,
              () -> hasFinalResult(first) && hasFinalResult(second) && net.hasConverged()),
          "seed " + seed);
      assertConsistent(net, one, first);
      assertConsistent(net, two, second);
      issued +=
          (lastKind(first) == Kind.ISSUED ? 1 : 0) + (lastKind(second) == Kind.ISSUED ? 1 : 0);
      net.node(1).crash();
      net.node(1).start();
      assertTrue(net.await(10 * SECOND, net::hasConverged), "seed " + seed);
      assertTrue(issue(net, 3, "next"), "seed " + seed);
    }
    assertEquals(80, issued);
  }

  @Test
  void randomFaultsCauseNoFork() {
    int issued = 0;
    for (int seed = 0; seed < LONG_SEEDS; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(seed % 2 == 0 ? 5 : 3, seed);
      SplittableRandom random = new SplittableRandom(seed);
      int count = net.nodes.size();
      net.duplicationRate = 0.1;
      List<List<ProposalResult>> all = new ArrayList<>();
      for (int step = 0; step < 40; step++) {
        net.lossRate = random.nextDouble() * 0.4;
        net.delayNanos = (1 + random.nextInt(150)) * MILLISECOND;
        SimulatedIssuers.Node n = net.node(1 + random.nextInt(count));
        switch (random.nextInt(8)) {
          case 0 -> n.crash();
          case 1 -> {
            if (n.consensus != null) {
              net.pause(Integer.parseInt(n.name.substring(1)));
            }
          }
          case 2 -> net.cut(1 + random.nextInt(count), 1 + random.nextInt(count));
          case 3 -> net.heal();
          case 4 -> n.disk.failing = random.nextBoolean();
          default -> {
            if (n.consensus != null && !n.paused) {
              all.add(n.propose("document " + all.size()));
            }
          }
        }
        net.advance(random.nextInt(800) * MILLISECOND);
        for (int i = 1; i <= count; i++) {
          if (random.nextInt(3) == 0) {
            if (net.node(i).consensus == null) {
              net.node(i).paused = false;
              net.node(i).start();
            }
            net.resume(i);
          }
        }
      }
      net.heal();
      net.lossRate = 0;
      for (int i = 1; i <= count; i++) {
        net.node(i).disk.failing = false;
        if (net.node(i).consensus == null) {
          net.node(i).start();
        }
        net.resume(i);
      }
      net.advance(10 * SECOND);
      List<ProposalResult> end = net.node(1).propose("the end");
      assertTrue(
          net.await(20 * SECOND, () -> lastKind(end) == Kind.ISSUED && net.hasConverged()),
          "seed " + seed + ": " + end);
      for (int i = 0; i < all.size(); i++) {
        assertConsistent(net, "document " + i, all.get(i));
      }
      issued += net.log.size();
    }
    assertTrue(issued > 5 * LONG_SEEDS, issued + " issued");
  }
}
