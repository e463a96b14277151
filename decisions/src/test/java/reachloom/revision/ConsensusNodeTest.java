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

/**
 * Issuers that find one revision after another, under all that a network and machines do to them.
 */
class ConsensusNodeTest {
  private static final long MILLISECOND = SimulatedIssuers.MILLISECOND;
  private static final long SECOND = SimulatedIssuers.SECOND;
  private static final int SEEDS = 300;
  private static final int LONG_SEEDS = 150; // of those that go through many steps each

  private static Kind last(List<ProposalResult> results) {
    return results.isEmpty() ? null : results.get(results.size() - 1).kind();
  }

  private static boolean over(List<ProposalResult> results) {
    return !results.isEmpty() && results.get(results.size() - 1).isFinal();
  }

  /**
   * A result that was told holds: what is called issued is in the log, and nothing else of it is.
   */
  private static void told(SimulatedIssuers net, String document, List<ProposalResult> results) {
    long in = net.log.values().stream().filter(r -> r.describes(document.getBytes())).count();
    for (ProposalResult r : results) {
      if (r.kind() == Kind.ISSUED) {
        assertEquals(1, in, document + " was told to be issued");
        assertTrue(net.log.get(r.number()).describes(document.getBytes()));
      } else if (r.isFinal() && r.kind() != Kind.OVERTAKEN) {
        assertEquals(0, in, document + ": " + r);
      }
    }
    assertTrue(in <= 1, document + " was issued twice");
    assertTrue(results.size() <= 2, "told more than twice: " + results);
  }

  @Test
  void oneDocumentIsIssuedAndTheNextFollows() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    List<ProposalResult> first = net.node(1).propose("{\"a\":1}");
    assertTrue(net.await(SECOND, () -> over(first)));
    assertEquals(new ProposalResult(Kind.ISSUED, 1, "issued as revision 1"), first.get(0));
    List<ProposalResult> second = net.node(3).propose("{\"a\":2}");
    assertTrue(net.await(SECOND, () -> over(second)));
    assertEquals(2, second.get(0).number());
    assertTrue(net.await(2 * SECOND, net::agree));
    assertEquals("{\"a\":2}", net.node(5).document());
    assertEquals(2, net.node(5).consensus.newestNumber());
  }

  @Test
  void oneIssuerAloneIssuesAtOnce() {
    SimulatedIssuers net = new SimulatedIssuers(1, 1);
    assertEquals(Kind.ISSUED, last(net.node(1).propose("x")));
    assertEquals(Kind.ISSUED, last(net.node(1).propose("y")));
    assertEquals(2, net.node(1).number());
  }

  @Test
  void twoSourcesAtOnceComeInOneOrderAndBothEndsKnow() {
    for (int seed = 0; seed < SEEDS; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(5, seed);
      net.loss = seed % 3 * 0.1;
      net.copies = 0.1;
      net.refusing = seed % 2 * 0.1;
      net.delay = (1 + seed % 5 * 40) * MILLISECOND;
      List<ProposalResult> one = net.node(1).propose("one");
      List<ProposalResult> two = net.node(2).propose("two");
      assertTrue(
          net.await(20 * SECOND, () -> over(one) && over(two) && net.agree()), "seed " + seed);
      told(net, "one", one);
      told(net, "two", two);
      assertEquals(Kind.ISSUED, last(one), "seed " + seed);
      assertEquals(Kind.ISSUED, last(two), "seed " + seed);
      assertEquals(2, net.log.size(), "seed " + seed);
    }
  }

  @Test
  void tenInARowIssueTheNewestAndSayWhichWereSkipped() {
    for (int seed = 0; seed < SEEDS / 10; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(5, seed);
      net.delay = 50 * MILLISECOND;
      net.loss = 0.05;
      List<List<ProposalResult>> all = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        all.add(net.node(1).propose("document " + i));
        net.pass(200 * MILLISECOND);
      }
      assertTrue(
          net.await(
              20 * SECOND, () -> all.stream().allMatch(ConsensusNodeTest::over) && net.agree()));
      for (int i = 0; i < 10; i++) {
        told(net, "document " + i, all.get(i));
      }
      assertEquals(Kind.ISSUED, last(all.get(9)), "seed " + seed);
      assertEquals("document 9", net.node(4).document());
    }
  }

  @Test
  void whatASourceKilledHalfWayHadProposedIsFinishedOrNeverProved() {
    int finished = 0;
    int dropped = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(5, seed);
      net.loss = seed % 4 * 0.1;
      net.delay = 20 * MILLISECOND;
      net.node(1).propose("half");
      net.pass(net.random.nextLong(200) * MILLISECOND); // in any phase
      net.node(1).crash();
      boolean decided = net.log.containsKey(1L);
      List<ProposalResult> next = net.node(2).propose("next");
      assertTrue(net.await(20 * SECOND, () -> over(next) && net.agree()), "seed " + seed);
      assertEquals(Kind.ISSUED, last(next), "seed " + seed);
      told(net, "next", next);
      assertEquals("next", net.node(3).document(), "seed " + seed);
      boolean there = net.log.size() == 2;
      assertTrue(there || !decided, "seed " + seed);
      finished += there ? 1 : 0;
      dropped += there ? 0 : 1;
      net.node(1).start(); // with its store, and what lies there
      assertTrue(net.await(20 * SECOND, net::agree), "seed " + seed);
      assertEquals(there ? 2 : 1, net.log.size(), "seed " + seed);
    }
    assertTrue(
        finished > SEEDS / 10 && dropped > SEEDS / 10, finished + " finished, " + dropped + " not");
  }

  @Test
  void killedBeforeAnyAcceptedIsNeverProved() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    net.node(1).suppressed = w -> w instanceof RevisionMessage.Propose;
    net.node(1).propose("half");
    net.pass(SECOND);
    net.node(1).crash();
    net.pass(20 * SECOND);
    assertEquals(0, net.log.size());
    net.node(2).propose("next");
    assertTrue(net.await(SECOND, () -> net.log.size() == 1));
    assertTrue(net.log.get(1L).describes("next".getBytes()));
    net.node(1).suppressed = w -> false;
    net.node(1).start();
    net.pass(20 * SECOND);
    assertEquals(1, net.log.size());
  }

  @Test
  void killedAfterOneAcceptedIsFinishedByTheNextWhoHearsOfIt() {
    SimulatedIssuers net = new SimulatedIssuers(3, 1);
    net.node(1).suppressed = w -> w instanceof RevisionMessage.Notice;
    net.node(3).suppressed =
        w -> w instanceof RevisionMessage.Accepted || w instanceof RevisionMessage.Promise;
    net.node(2).suppressed = w -> w instanceof RevisionMessage.Accepted;
    net.node(1).propose("half");
    assertTrue(net.await(SECOND, () -> net.node(2).disk.state.accepted().isPresent()));
    net.node(1).crash();
    net.node(3).suppressed = w -> false;
    net.node(2).suppressed = w -> false;
    List<ProposalResult> next = net.node(3).propose("next");
    assertTrue(net.await(5 * SECOND, () -> over(next)));
    assertEquals(2, next.get(0).number());
    assertTrue(net.log.get(1L).describes("half".getBytes()));
    assertEquals("c1", net.log.get(1L).issuer());
  }

  @Test
  void killedAfterAMajorityAcceptedIsFinishedWithoutANewDocument() {
    for (int seed = 0; seed < 20; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(5, seed);
      for (int i = 2; i <= 5; i++) {
        net.node(i).suppressed = w -> w instanceof RevisionMessage.Accepted;
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
      net.nodes.values().forEach(n -> n.suppressed = w -> false);
      assertTrue(net.await(8 * SECOND, () -> net.log.size() == 1 && net.agree()), "seed " + seed);
      assertEquals("half", net.node(4).document());
      net.pass(10 * SECOND);
      assertEquals(1, net.log.size());
    }
  }

  @Test
  void oneThatStoodStillCannotIssueWhatItHad() {
    for (int seed = 0; seed < 50; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(5, seed);
      net.delay = 40 * MILLISECOND;
      List<ProposalResult> old = net.node(1).propose("old");
      net.pass(net.random.nextLong(60) * MILLISECOND);
      net.pause(1);
      List<ProposalResult> young = net.node(2).propose("young");
      assertTrue(net.await(10 * SECOND, () -> over(young)), "seed " + seed);
      int before = net.log.size();
      net.pass(20 * SECOND);
      net.resume(1);
      net.pass(20 * SECOND);
      assertEquals(before, net.log.size(), "seed " + seed);
      assertEquals("young", net.node(1).document(), "seed " + seed);
      assertTrue(over(old), "seed " + seed + ": " + old);
      told(net, "old", old);
      told(net, "young", young);
    }
  }

  @Test
  void oneAloneThatStoodStillDoesNotProposeWhatWaited() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    net.nodes.values().forEach(n -> n.suppressed = w -> w instanceof RevisionMessage.Promise);
    List<ProposalResult> old = net.node(1).propose("old");
    net.pass(100 * MILLISECOND);
    net.pause(1);
    net.pass(5 * SECOND);
    net.nodes.values().forEach(n -> n.suppressed = w -> false);
    net.resume(1);
    net.pass(30 * SECOND);
    assertEquals(Kind.STOOD_STILL, last(old));
    assertEquals(0, old.get(0).number());
    assertEquals(0, net.log.size());
  }

  @Test
  void withOneOrTwoOfFiveLostIssuesGoOn() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    net.node(5).crash();
    List<ProposalResult> one = net.node(1).propose("one");
    assertTrue(net.await(SECOND, () -> over(one)));
    net.node(4).crash();
    List<ProposalResult> two = net.node(2).propose("two");
    assertTrue(net.await(SECOND, () -> over(two)));
    assertEquals(Kind.ISSUED, last(one));
    assertEquals(Kind.ISSUED, last(two));
    net.node(4).start();
    net.node(5).start();
    assertTrue(net.await(3 * SECOND, net::agree));
    assertEquals(2, net.node(5).consensus.newestNumber());
    List<ProposalResult> three = net.node(5).propose("three");
    assertTrue(net.await(SECOND, () -> over(three)));
    assertEquals(3, three.get(0).number());
  }

  @Test
  void withThreeOfFiveLostItSaysSoAndGoesOnOnceTheyAreBack() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    for (int i = 3; i <= 5; i++) {
      net.node(i).crash();
    }
    List<ProposalResult> lost = net.node(1).propose("lost");
    assertTrue(net.await(10 * SECOND, () -> !lost.isEmpty()));
    assertEquals(Kind.NO_MAJORITY, last(lost));
    assertTrue(over(lost), "it was never proposed");
    net.pass(20 * SECOND);
    for (int i = 3; i <= 5; i++) {
      net.node(i).start();
    }
    net.pass(20 * SECOND);
    assertEquals(0, net.log.size(), "withdrawn is withdrawn");
    List<ProposalResult> next = net.node(1).propose("next");
    assertTrue(net.await(SECOND, () -> over(next)));
    assertEquals(Kind.ISSUED, last(next));
  }

  @Test
  void whatWasProposedBeforeTheMajorityWasLostIsToldTwice() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    for (int i = 2; i <= 5; i++) {
      net.node(i).suppressed = w -> w instanceof RevisionMessage.Accepted;
    }
    List<ProposalResult> unsure = net.node(1).propose("unsure");
    assertTrue(net.await(10 * SECOND, () -> !unsure.isEmpty()));
    assertEquals(Kind.NO_MAJORITY, last(unsure));
    assertEquals(1, unsure.get(0).number());
    assertFalse(over(unsure));
    net.nodes.values().forEach(n -> n.suppressed = w -> false);
    assertTrue(net.await(10 * SECOND, () -> over(unsure)));
    assertEquals(new ProposalResult(Kind.ISSUED, 1, "issued as revision 1"), unsure.get(1));
  }

  @Test
  void aStoreThatCannotBeWrittenGivesNoVote() {
    SimulatedIssuers net = new SimulatedIssuers(3, 1);
    net.node(2).disk.broken = true;
    net.node(3).disk.broken = true;
    List<ProposalResult> none = net.node(1).propose("none");
    net.pass(9 * SECOND);
    assertEquals(Kind.NO_MAJORITY, last(none));
    assertEquals(0, net.log.size());
    net.node(3).disk.broken = false;
    List<ProposalResult> one = net.node(1).propose("one");
    assertTrue(net.await(2 * SECOND, () -> over(one)));
    assertEquals(Kind.ISSUED, last(one));
    assertEquals(Optional.empty(), net.node(2).disk.state.newest());
    assertEquals(0, net.node(2).consensus.newestNumber(), "what is not saved counts as unknown");
    List<ProposalResult> refused = net.node(2).propose("refused");
    assertEquals(Kind.NOT_SAVED, last(refused));
    assertTrue(over(refused));
    net.node(2).disk.broken = false;
    assertTrue(net.await(2 * SECOND, net::agree));
    assertEquals(1, net.node(2).consensus.newestNumber());
  }

  @Test
  void theLargestDocumentIsIssuedAndOneByteMoreIsNot() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    List<ProposalResult> over = net.node(1).propose(new byte[Revision.MAX_DOCUMENT_BYTES + 1]);
    assertEquals(Kind.BAD_SIZE, last(over));
    assertTrue(over.get(0).text().contains("16385 bytes"), over.get(0).text());
    assertEquals(Kind.BAD_SIZE, last(net.node(1).propose(new byte[0])));
    List<ProposalResult> most = net.node(1).propose(new byte[Revision.MAX_DOCUMENT_BYTES]);
    assertTrue(net.await(SECOND, () -> over(most)));
    assertEquals(Kind.ISSUED, last(most));
    assertTrue(net.await(2 * SECOND, net::agree));
    assertEquals(
        Revision.MAX_DOCUMENT_BYTES, net.node(5).document(net.log.get(1L)).orElseThrow().length);
  }

  @Test
  void oneThatLostItsStoreVotesOnlyAfterWhatItMayHaveForgotten() {
    SimulatedIssuers net = new SimulatedIssuers(3, 1);
    assertTrue(issue(net, 1, "one"));
    net.node(3).crash();
    net.node(3).disk.state = null;
    net.node(3).start();
    assertEquals(Kind.ABSTAINS, last(net.node(3).propose("no")));
    net.pass(70 * SECOND);
    assertEquals(4, net.node(3).disk.state.firstVotingNumber());
    assertEquals(1, net.node(3).consensus.newestNumber(), "it learns all the same");
    net.node(2).crash(); // two of three are up, and one of them abstains
    List<ProposalResult> none = net.node(1).propose("none");
    net.pass(9 * SECOND);
    assertEquals(Kind.NO_MAJORITY, last(none));
    net.node(2).start();
    assertTrue(issue(net, 1, "two"));
    assertTrue(issue(net, 1, "three"));
    assertTrue(net.await(2 * SECOND, net::agree));
    net.node(2).crash();
    assertTrue(issue(net, 3, "four"));
    assertEquals(4, net.node(1).number());
  }

  private static boolean issue(SimulatedIssuers net, int at, String document) {
    List<ProposalResult> results = net.node(at).propose(document);
    return net.await(5 * SECOND, () -> over(results)) && last(results) == Kind.ISSUED;
  }

  @Test
  void oneThatWasFarBehindCatchesUpBeforeItProposes() {
    SimulatedIssuers net = new SimulatedIssuers(5, 1);
    net.node(5).crash();
    for (int i = 1; i <= 6; i++) {
      assertTrue(issue(net, 1, "document " + i));
    }
    net.node(5).start();
    List<ProposalResult> late = net.node(5).propose("late");
    assertTrue(net.await(2 * SECOND, () -> over(late)));
    assertEquals(7, late.get(0).number());
  }

  @Test
  void aRoundOutOfReachAndAForeignBallotAreNotPromised() {
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
  void votesOfAnotherBallotAndForgedOnesDoNotCount() {
    SimulatedIssuers net = new SimulatedIssuers(3, 1);
    net.node(2).suppressed = w -> w instanceof RevisionMessage.Accepted;
    net.node(3).suppressed = w -> w instanceof RevisionMessage.Accepted;
    net.node(1).propose("one");
    assertTrue(net.await(SECOND, () -> net.node(2).disk.state.accepted().isPresent()));
    ConsensusState s = net.node(2).disk.state;
    Vote forged = new Vote("c2", new byte[32]);
    Peer c2 = net.node(2).peer();
    net.node(1)
        .consensus
        .receive(
            net.now,
            c2,
            List.of(new RevisionMessage.Accepted(s.accepted().orElseThrow().ballot(), 1, forged)));
    assertEquals(0, net.log.size());
    byte[] good =
        new Acceptor("c2", signer(), net.node(2).disk)
            .state()
            .acceptedRevision()
            .orElseThrow()
            .chain();
    Vote vote = new Vote("c2", signer().sign(good));
    Ballot other = new Ballot(s.accepted().orElseThrow().ballot().round() + 1, "c1");
    net.node(1)
        .consensus
        .receive(net.now, c2, List.of(new RevisionMessage.Accepted(other, 1, vote)));
    assertEquals(0, net.log.size());
    net.node(1)
        .consensus
        .receive(
            net.now,
            c2,
            List.of(new RevisionMessage.Accepted(s.accepted().orElseThrow().ballot(), 1, vote)));
    assertEquals(1, net.log.size());
  }

  private static SignatureScheme signer() {
    return SimulatedIssuers.seal("c2");
  }

  @Test
  void issuersThatLoseTheirStoresOneAfterAnotherBringNoFork() {
    int back = 0;
    for (int seed = 0; seed < LONG_SEEDS / 4; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(3 + 2 * (seed % 2), seed);
      SplittableRandom chance = new SplittableRandom(seed);
      int count = net.nodes.size();
      SimulatedIssuers.Node lost = null;
      for (int step = 0; step < 8; step++) {
        net.loss = chance.nextDouble() * 0.3;
        net.delay = (1 + chance.nextInt(100)) * MILLISECOND;
        for (int i = 0; i < 3; i++) {
          net.node(1 + chance.nextInt(count)).propose("document " + step + " " + i);
          net.pass(chance.nextInt(150) * MILLISECOND);
        }
        SimulatedIssuers.Node n = net.node(1 + chance.nextInt(count));
        boolean others = net.nodes.values().stream().allMatch(o -> o.disk.takesPart());
        n.crash();
        n.disk.state = others ? null : n.disk.state;
        n.start();
        net.node(1 + chance.nextInt(count)).propose("document " + step);
        net.pass(chance.nextInt(3) == 0 ? 65 * SECOND : chance.nextInt(3_000) * MILLISECOND);
        lost = others ? n : lost;
        if (lost != null && lost.disk.takesPart()) {
          back++;
          lost = null;
        }
      }
      net.loss = 0;
      net.pass(65 * SECOND);
      SimulatedIssuers.Node sound =
          net.nodes.values().stream().filter(n -> n.disk.takesPart()).findFirst().orElseThrow();
      List<ProposalResult> end = sound.propose("the end");
      assertTrue(
          net.await(20 * SECOND, () -> last(end) == Kind.ISSUED && net.agree()), "seed " + seed);
    }
    assertTrue(back > LONG_SEEDS / 8, back + " came back");
  }

  @Test
  void ofWhatOthersHaveAcceptedTheOneOfTheHighestBallotIsTakenUp() {
    for (boolean turned : new boolean[] {false, true}) {
      SimulatedIssuers net = new SimulatedIssuers(5, 1);
      net.loss = 1;
      SimulatedIssuers.Node n = net.node(1);
      n.propose("own");
      Ballot mine = n.disk.state.promised();
      Revision older = draft(n, "older");
      Revision newer = draft(n, "newer");
      RevisionMessage.Promise low =
          new RevisionMessage.Promise(
              mine, 1, new Ballot(mine.round() - 1, "c2"), Optional.of(older));
      RevisionMessage.Promise high =
          new RevisionMessage.Promise(
              mine, 1, new Ballot(mine.round() - 1, "c5"), Optional.of(newer));
      n.consensus.receive(net.now, net.node(2).peer(), List.of(turned ? high : low));
      assertEquals(Optional.empty(), n.disk.state.accepted());
      n.consensus.receive(net.now, net.node(3).peer(), List.of(turned ? low : high));
      assertEquals(Optional.of(newer), n.disk.state.acceptedRevision());
    }
  }

  private static Revision draft(SimulatedIssuers.Node at, String document) {
    Revision r = Revision.after(null, document.getBytes(), 1, "c4");
    at.addProposal(r, document.getBytes());
    return r;
  }

  @Test
  void aLowerBallotIsRefusedInBothPhases() {
    SimulatedIssuers net = new SimulatedIssuers(3, 1);
    ConsensusState high = ConsensusState.initial().withPromised(new Ballot(9, "c2"));
    net.node(1).disk.state = high;
    Acceptor a = new Acceptor("c1", SimulatedIssuers.seal("c1"), net.node(1).disk);
    Ballot low = new Ballot(8, "c3");
    Revision r = draft(net.node(1), "low");
    assertEquals(
        Optional.of(new RevisionMessage.Rejected(low, high.promised())),
        a.prepare(new RevisionMessage.Prepare(low, 1), "c3"));
    assertEquals(
        Optional.of(new RevisionMessage.Rejected(low, high.promised())),
        a.propose(new RevisionMessage.Propose(low, r), "c3", document("low")));
    assertEquals(high, a.state());
    Ballot same = new Ballot(9, "c2");
    assertEquals(
        Optional.empty(),
        a.propose(new RevisionMessage.Propose(same, r), "c2", Optional.empty()),
        "no vote without the document");
    assertEquals(
        Optional.empty(),
        a.propose(new RevisionMessage.Propose(same, r), "c2", document("lox")),
        "nor for another one");
    RevisionMessage answer =
        a.propose(new RevisionMessage.Propose(same, r), "c2", document("low")).orElseThrow();
    assertEquals(same, ((RevisionMessage.Accepted) answer).ballot());
    assertEquals(
        Optional.empty(),
        a.propose(
            new RevisionMessage.Propose(same, draft(net.node(1), "two")), "c2", document("two")),
        "nor for two under one ballot");
    Revision third = new Revision(3, r.chain(), r.digest(), r.size(), 1, "c2");
    assertEquals(
        Optional.empty(),
        a.propose(new RevisionMessage.Propose(same, third), "c2", document("low")),
        "nor out of turn");
    assertEquals(Optional.of(r), a.state().acceptedRevision());
  }

  private static Optional<byte[]> document(String text) {
    return Optional.of(text.getBytes());
  }

  @Test
  void withTheMembersOwnPartTwoSourcesDocumentsAreIssuedUnderLoss() {
    int issued = 0;
    for (int seed = 0; seed < 40; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(5, seed, true);
      boolean large = seed % 2 == 0;
      net.loss = large ? 0.02 : 0.3;
      net.delay = 60 * MILLISECOND;
      String one = "1".repeat(large ? Revision.MAX_DOCUMENT_BYTES : 1_024);
      String two = "2".repeat(large ? Revision.MAX_DOCUMENT_BYTES : 1_024);
      List<ProposalResult> first = net.node(1).propose(one);
      List<ProposalResult> second = net.node(2).propose(two);
      assertTrue(
          net.await(30 * SECOND, () -> over(first) && over(second) && net.agree()), "seed " + seed);
      told(net, one, first);
      told(net, two, second);
      issued += (last(first) == Kind.ISSUED ? 1 : 0) + (last(second) == Kind.ISSUED ? 1 : 0);
      net.node(1).crash();
      net.node(1).start();
      assertTrue(net.await(10 * SECOND, net::agree), "seed " + seed);
      assertTrue(issue(net, 3, "next"), "seed " + seed);
    }
    assertEquals(80, issued);
  }

  @Test
  void whateverHappensNoNumberHasTwoChains() {
    int issued = 0;
    for (int seed = 0; seed < LONG_SEEDS; seed++) {
      SimulatedIssuers net = new SimulatedIssuers(seed % 2 == 0 ? 5 : 3, seed);
      SplittableRandom chance = new SplittableRandom(seed);
      int count = net.nodes.size();
      net.copies = 0.1;
      List<List<ProposalResult>> all = new ArrayList<>();
      for (int step = 0; step < 40; step++) {
        net.loss = chance.nextDouble() * 0.4;
        net.delay = (1 + chance.nextInt(150)) * MILLISECOND;
        SimulatedIssuers.Node n = net.node(1 + chance.nextInt(count));
        switch (chance.nextInt(8)) {
          case 0 -> n.crash();
          case 1 -> {
            if (n.consensus != null) {
              net.pause(Integer.parseInt(n.name.substring(1)));
            }
          }
          case 2 -> net.cut(1 + chance.nextInt(count), 1 + chance.nextInt(count));
          case 3 -> net.heal();
          case 4 -> n.disk.broken = chance.nextBoolean();
          default -> {
            if (n.consensus != null && !n.paused) {
              all.add(n.propose("document " + all.size()));
            }
          }
        }
        net.pass(chance.nextInt(800) * MILLISECOND);
        for (int i = 1; i <= count; i++) {
          if (chance.nextInt(3) == 0) {
            if (net.node(i).consensus == null) {
              net.node(i).paused = false;
              net.node(i).start();
            }
            net.resume(i);
          }
        }
      }
      net.heal();
      net.loss = 0;
      for (int i = 1; i <= count; i++) {
        net.node(i).disk.broken = false;
        if (net.node(i).consensus == null) {
          net.node(i).start();
        }
        net.resume(i);
      }
      net.pass(10 * SECOND);
      List<ProposalResult> end = net.node(1).propose("the end");
      assertTrue(
          net.await(20 * SECOND, () -> last(end) == Kind.ISSUED && net.agree()),
          "seed " + seed + ": " + end);
      for (int i = 0; i < all.size(); i++) {
        told(net, "document " + i, all.get(i));
      }
      issued += net.log.size();
    }
    assertTrue(issued > 5 * LONG_SEEDS, issued + " issued");
  }
}
