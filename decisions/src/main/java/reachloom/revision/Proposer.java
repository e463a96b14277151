package reachloom.revision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * An issuer's proposing part (the proposer of Paxos). Of the documents given to it only the newest
 * waits. What others have accepted and nobody has finished is finished first, under its own number.
 *
 * <p>Only votes of the own ballot are counted: signatures say nothing of ballots, and votes of
 * several ballots do not make a majority.
 */
final class Proposer {
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** Silence after which a question is put again: longer than a way round the earth and back. */
  private static final long RETRY = 300 * MILLISECOND;

  private static final long MAX_RETRY = 1_000 * MILLISECOND;

  /**
   * Rest after a higher ballot was met, on average and at first: two ways to another region and
   * back.
   */
  private static final long REST = 150 * MILLISECOND;

  private static final int MAX_DOUBLINGS = 4;

  /**
   * A document not issued by then is not proposed any more; members need a part of the 10 s, too.
   */
  static final long GIVE_UP = 8_000 * MILLISECOND;

  private static final long FETCH = 3_000 * MILLISECOND;

  /**
   * What was accepted and is not proved after that time, and a part drawn by chance, is taken up
   * again.
   */
  private static final long FINISH = 2_000 * MILLISECOND;

  private static final int MAX_UNSURE = 4;
  private static final String UNWRITABLE = "this issuer's store can't be written";

  /** What the proposer needs of its council. */
  interface Floor {
    /** Says something to another issuer; false where there was no room. */
    boolean say(long now, String to, RevisionMessage word);

    /** All issuers but this one, as they can be reached. */
    List<Peer> others();

    /** A revision has its majority of votes. */
    void decided(long now, RevisionMessage.Notice notice, byte[] document);

    /** Tells whoever gave a document, once the present event has been dealt with. */
    void report(Consumer<ProposalResult> to, ProposalResult result);
  }

  private enum Phase {
    IDLE,
    PREPARING,
    FETCHING,
    PROPOSING,
    RESTING
  }

  /** A document that was given; {@code revision} is what it was proposed as, or null. */
  private record Order(
      byte[] document, Consumer<ProposalResult> giver, long since, Revision revision) {}

  private final String name;
  private final int quorum;
  private final SignatureScheme seal;
  private final Acceptor acceptor;
  private final RevisionRepository library;
  private final SplittableRandom random;
  private final Floor floor;

  private Order wanted;
  private Order own;

  /**
   * Whether others may have been asked to accept the own one, so that it may be issued whatever is
   * done.
   */
  private boolean sent;

  private final Deque<Order> unsure = new ArrayDeque<>();

  private Phase phase = Phase.IDLE;
  private Ballot ballot = Ballot.NONE;
  private long seenRound;
  private long number;
  private Revision revision;
  private byte[] document;
  private final Map<String, RevisionMessage.Promise> promises = new TreeMap<>();
  private final Map<String, Vote> votes = new TreeMap<>();
  private final Deque<String> holders = new ArrayDeque<>();
  private long until;
  private long pause = RETRY;
  private int doublings;
  private Revision lying;
  private long finishAt;

  Proposer(
      String name,
      int quorum,
      SignatureScheme seal,
      Acceptor acceptor,
      RevisionRepository library,
      SplittableRandom random,
      Floor floor) {
    this.name = name;
    this.quorum = quorum;
    this.seal = seal;
    this.acceptor = acceptor;
    this.library = library;
    this.random = random;
    this.floor = floor;
  }

  // ---- Documents ----

  void give(long now, byte[] given, Consumer<ProposalResult> giver) {
    if (given.length == 0 || given.length > Revision.MAX_DOCUMENT_BYTES) {
      floor.report(
          giver,
          new ProposalResult(
              ProposalResult.Kind.BAD_SIZE,
              0,
              "the document has "
                  + given.length
                  + " bytes; 1 to "
                  + Revision.MAX_DOCUMENT_BYTES
                  + " are allowed"));
      return;
    }
    if (!acceptor.state().takesPart()) {
      floor.report(giver, abstains());
      return;
    }
    if (wanted != null) {
      report(
          wanted,
          ProposalResult.Kind.SUPERSEDED,
          0,
          "a newer document was given before this one was proposed");
    }
    wanted = new Order(given.clone(), giver, now, null);
    if (phase == Phase.IDLE) {
      prepare(now);
    }
  }

  private ProposalResult abstains() {
    long from = acceptor.state().from();
    return new ProposalResult(
        ProposalResult.Kind.ABSTAINS,
        0,
        "this issuer has lost its store and takes no part "
            + (from == ConsensusStore.NEVER ? "yet" : "before revision " + from)
            + ": give the document to another one");
  }

  /**
   * Documents that are too old are not proposed any more; those that were are for others to finish.
   */
  void expire(long now) {
    if (wanted != null && now - wanted.since >= GIVE_UP) {
      withdrawWanted(ProposalResult.Kind.NO_MAJORITY, none(now - wanted.since));
    }
    if (own != null && now - own.since >= GIVE_UP) {
      withdrawOwn(now, ProposalResult.Kind.NO_MAJORITY, none(now - own.since));
    }
  }

  private String none(long after) {
    return "no majority of the issuers answered within " + after / MILLISECOND + " ms";
  }

  /**
   * This process has stood still for so long: whatever was to be issued then may have been
   * overtaken.
   */
  void stoodStill(long now, long gap) {
    String text = "this issuer stood still for " + gap / MILLISECOND + " ms";
    if (wanted != null) {
      withdrawWanted(ProposalResult.Kind.STOOD_STILL, text);
    }
    if (own != null) {
      withdrawOwn(now, ProposalResult.Kind.STOOD_STILL, text);
    }
  }

  private void withdrawWanted(ProposalResult.Kind why, String text) {
    Order old = wanted;
    wanted = null;
    report(old, why, 0, text + "; it is withdrawn");
  }

  private void withdrawOwn(long now, ProposalResult.Kind why, String text) {
    Order old = own;
    own = null;
    leave();
    if (!sent) {
      report(old, why, 0, text + "; it is withdrawn");
      return;
    }
    finishAt = now + FINISH + random.nextLong(FINISH);
    if (unsure.size() >= MAX_UNSURE) {
      unsure.poll();
    }
    unsure.add(old);
    long as = old.revision.number();
    report(old, why, as, text + "; it was proposed and may yet be issued as revision " + as);
  }

  /** Leaves the present ballot. */
  private void leave() {
    phase = Phase.IDLE;
    promises.clear();
    votes.clear();
    holders.clear();
  }

  private void report(Order o, ProposalResult.Kind kind, long as, String text) {
    floor.report(o.giver, new ProposalResult(kind, as, text));
  }

  // ---- Time ----

  void tick(long now) {
    noteUnfinished(now);
    switch (phase) {
      case IDLE -> {
        if (wanted != null || own != null) {
          prepare(now);
        } else if (lying != null && now >= finishAt) {
          finishAt = now + FINISH + random.nextLong(FINISH);
          prepare(now);
        }
      }
      case RESTING -> {
        if (now >= until) {
          phase = Phase.IDLE;
          tick(now);
        }
      }
      case FETCHING -> {
        if (now >= until) {
          rest(now);
        }
      }
      default -> {
        if (wanted == null && own == null && lying == null) {
          leave();
        } else if (now >= until) {
          pause = Math.min(MAX_RETRY, 2 * pause);
          ask(now);
        }
      }
    }
  }

  /** Whether something lies here that was accepted and that nobody finishes. */
  private void noteUnfinished(long now) {
    Revision accepted = acceptor.state().accepted();
    if (accepted == null) {
      lying = null;
    } else if (!accepted.equals(lying)) {
      lying = accepted;
      finishAt = now + FINISH + random.nextLong(FINISH);
    }
  }

  private void rest(long now) {
    leave();
    phase = Phase.RESTING;
    long mean = REST << doublings;
    doublings = Math.min(MAX_DOUBLINGS, doublings + 1);
    until = now + mean / 2 + random.nextLong(mean);
  }

  // ---- Phase one ----

  private void prepare(long now) {
    leave();
    if (!acceptor.state().takesPart()) {
      if (wanted != null) {
        Order old = wanted;
        wanted = null;
        floor.report(old.giver, abstains());
      }
      return;
    }
    if (!acceptor.holdsNewest()) {
      return; // it is being fetched
    }
    number = acceptor.state().number() + 1;
    long round = Math.max(seenRound, acceptor.state().promised().round()) + 1;
    ballot = new Ballot(round, name);
    RevisionMessage.Prepare question = new RevisionMessage.Prepare(ballot, number);
    if (!(acceptor.prepare(question, name) instanceof RevisionMessage.Promise mine)) {
      notSaved(now);
      return;
    }
    seenRound = round;
    phase = Phase.PREPARING;
    pause = RETRY;
    promises.put(name, mine);
    ask(now);
    choose(now);
  }

  /** Without its own store it may not even ask: a ballot of that round may be used again. */
  private void notSaved(long now) {
    if (wanted != null) {
      withdrawWanted(ProposalResult.Kind.NOT_SAVED, UNWRITABLE);
    }
    rest(now);
  }

  /** Puts the question of the present phase to all that have not answered it. */
  private void ask(long now) {
    boolean all = true;
    for (Peer p : floor.others()) {
      if (phase == Phase.PREPARING && !promises.containsKey(p.name())) {
        all &= floor.say(now, p.name(), new RevisionMessage.Prepare(ballot, number));
      } else if (phase == Phase.PROPOSING && !votes.containsKey(p.name())) {
        all &= floor.say(now, p.name(), new RevisionMessage.Propose(ballot, revision));
      }
    }
    until = all ? now + pause : now;
  }

  void promised(long now, RevisionMessage.Promise p, String sender) {
    boolean sound =
        p.accepted() == null
            || p.acceptedUnder().compareTo(ballot) < 0 && acceptor.follows(p.accepted());
    if (phase == Phase.PREPARING && p.ballot().equals(ballot) && p.number() == number && sound) {
      promises.put(sender, p);
      choose(now);
    }
  }

  /**
   * With a majority of promises: what was accepted under the highest ballot, else what is wanted
   * here.
   */
  private void choose(long now) {
    if (phase != Phase.PREPARING || promises.size() < quorum) {
      return;
    }
    RevisionMessage.Promise highest = null;
    for (RevisionMessage.Promise p : promises.values()) {
      boolean higher =
          p.accepted() != null
              && (highest == null || p.acceptedUnder().compareTo(highest.acceptedUnder()) > 0);
      highest = higher ? p : highest;
    }
    if (highest != null) {
      adopt(now, highest.accepted());
      return;
    }
    if (own == null && wanted != null) {
      RevisionMessage.Notice newest = acceptor.state().newest();
      Revision next =
          Revision.after(
              newest == null ? null : newest.revision(), wanted.document, now / MILLISECOND, name);
      own = new Order(wanted.document, wanted.giver, wanted.since, next);
      sent = false;
      wanted = null;
    }
    if (own == null) {
      leave();
    } else {
      propose(now, own.revision, own.document);
    }
  }

  private void adopt(long now, Revision accepted) {
    byte[] held =
        accepted.equals(acceptor.state().accepted())
            ? acceptor.state().draft()
            : library.document(accepted);
    if (held != null) {
      propose(now, accepted, held);
      return;
    }
    phase = Phase.FETCHING;
    revision = accepted;
    until = now + FETCH;
    holders.clear();
    promises.forEach(
        (who, p) -> {
          if (accepted.equals(p.accepted())) {
            holders.add(who);
          }
        });
    fetch(now, ballot);
  }

  private void fetch(long now, Ballot under) {
    Peer from = null;
    while (from == null && !holders.isEmpty()) {
      String who = holders.poll();
      from = floor.others().stream().filter(p -> p.name().equals(who)).findFirst().orElse(null);
    }
    if (from == null) {
      rest(now);
      return;
    }
    library.fetchDraft(now, revision, from, got -> fetched(now, under, got));
  }

  private void fetched(long asked, Ballot under, byte[] got) {
    if (phase != Phase.FETCHING || !under.equals(ballot)) {
      return;
    }
    if (got != null && revision.describes(got)) {
      propose(asked, revision, got);
    } else {
      fetch(asked, under);
    }
  }

  // ---- Phase two ----

  private void propose(long now, Revision next, byte[] held) {
    revision = next;
    document = held;
    library.draft(next, held);
    RevisionMessage mine = acceptor.propose(new RevisionMessage.Propose(ballot, next), name, held);
    if (!(mine instanceof RevisionMessage.Accepted a)) {
      if (mine == null && own != null && own.revision.equals(next)) {
        withdrawOwn(now, ProposalResult.Kind.NOT_SAVED, UNWRITABLE);
      }
      rest(now); // the store fails, or another one's ballot has come in between
      return;
    }
    sent |= own != null && own.revision.equals(next);
    phase = Phase.PROPOSING;
    pause = RETRY;
    votes.clear();
    votes.put(name, a.vote());
    ask(now);
    count(now);
  }

  void accepted(long now, RevisionMessage.Accepted a, String sender) {
    if (phase == Phase.PROPOSING
        && a.ballot().equals(ballot)
        && a.number() == number
        && a.vote().issuer().equals(sender)
        && !votes.containsKey(sender)
        && seal.proves(sender, revision.chain(), a.vote().signature())) {
      votes.put(sender, a.vote());
      count(now);
    }
  }

  private void count(long now) {
    if (phase == Phase.PROPOSING && votes.size() >= quorum) {
      RevisionMessage.Notice notice =
          new RevisionMessage.Notice(
              revision, new ArrayList<>(votes.values()).subList(0, quorum).stream().toList());
      leave();
      doublings = 0;
      floor.decided(now, notice, document);
    }
  }

  // ---- What both phases meet ----

  void rejected(long now, RevisionMessage.Rejected r) {
    boolean asking =
        phase == Phase.PREPARING || phase == Phase.PROPOSING || phase == Phase.FETCHING;
    if (asking
        && r.ballot().equals(ballot)
        && r.promised().compareTo(ballot) > 0
        && acceptor.plausible(r.promised(), r.promised().issuer())) {
      seenRound = Math.max(seenRound, r.promised().round());
      rest(now);
    }
  }

  /**
   * A newer revision is proved: what was proposed under its number or an earlier one is decided.
   */
  void moved(long now, Revision newest) {
    if (number <= newest.number() && phase != Phase.IDLE) {
      leave();
      doublings = 0;
    }
    for (Iterator<Order> i = unsure.iterator(); i.hasNext(); ) {
      Order o = i.next();
      if (o.revision.number() <= newest.number()) {
        i.remove();
        settle(o, newest, false);
      }
    }
    if (own != null && own.revision.number() <= newest.number()) {
      Order o = own;
      own = null;
      settle(o, newest, true);
    }
    if (phase == Phase.IDLE && wanted != null) {
      prepare(now);
    }
  }

  private void settle(Order o, Revision newest, boolean again) {
    Revision as = o.revision;
    boolean next = newest.number() == as.number() + 1;
    if (newest.equals(as) || next && Arrays.equals(newest.previous(), as.chain())) {
      report(o, ProposalResult.Kind.ISSUED, as.number(), "issued as revision " + as.number());
    } else if (newest.number() > as.number() + 1) {
      report(
          o,
          ProposalResult.Kind.OVERTAKEN,
          as.number(),
          "it was proposed as revision "
              + as.number()
              + "; revision "
              + newest.number()
              + " is proved, and whether it was issued before is not known");
    } else if (again && wanted == null) {
      wanted = new Order(o.document, o.giver, o.since, null);
    } else {
      report(
          o,
          ProposalResult.Kind.SUPERSEDED,
          as.number(),
          "another document was issued as revision " + as.number());
    }
  }
}
