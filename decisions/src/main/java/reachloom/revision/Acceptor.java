package reachloom.revision;

import java.util.Arrays;

/**
 * An issuer's voting part (the acceptor of Paxos, one instance a number). It answers only from what
 * is saved: where the store fails, it is silent, as one that is down.
 *
 * <p>One that has lost its store may have promised and accepted what it no longer knows. With its
 * newest proved revision at k, a voter takes part in number k + 1 at most, and k was accepted by a
 * majority that knew k - 1 to be proved. A majority of the others thus tells of k - 1 at least, and
 * what was forgotten is of that number + 2 at most. From the third on it takes part again. (What
 * others tell to know is what they hold the document of; therefore a voter holds that of k - 1
 * before it accepts k.) This counts on one lost store at a time: of two that were lost together
 * each might ask the other.
 */
final class Acceptor {
  /**
   * Numbers after the newest known to a majority of the others in which one that forgot may have
   * voted.
   */
  private static final long FORGOTTEN = 2;

  /** A round that is so far ahead of all others is a lie, which would leave none to go on with. */
  private static final long MAX_LEAP = 1L << 32;

  private final String name;
  private final SignatureScheme seal;
  private final ConsensusStore store;
  private ConsensusStore.State state;

  Acceptor(String name, SignatureScheme seal, ConsensusStore store) {
    this.name = name;
    this.seal = seal;
    this.store = store;
    ConsensusStore.State loaded = store.load();
    state = loaded == null ? ConsensusStore.State.lost() : loaded;
  }

  ConsensusStore.State state() {
    return state;
  }

  /**
   * Whether it takes part in finding that number: the next one, and not one that it may have
   * forgotten.
   */
  boolean takesPart(long number) {
    return number == state.number() + 1 && state.takesPart();
  }

  /** Whether it holds the document of the newest proved revision: only then it accepts the next. */
  boolean holdsNewest() {
    return state.newest() == null || state.document() != null;
  }

  /**
   * Whether a ballot may be answered at all: its owner's, and of a round that can be gone beyond.
   */
  boolean plausible(Ballot ballot, String sender) {
    return ballot.issuer().equals(sender)
        && ballot.round() > 0
        && ballot.round() - state.promised().round() <= MAX_LEAP;
  }

  /** The answer to phase one; null where there is none. */
  RevisionMessage prepare(RevisionMessage.Prepare p, String sender) {
    if (!plausible(p.ballot(), sender) || !takesPart(p.number())) {
      return null;
    }
    if (p.ballot().compareTo(state.promised()) < 0) {
      return new RevisionMessage.Rejected(p.ballot(), state.promised());
    }
    ConsensusStore.State next =
        new ConsensusStore.State(
            p.ballot(),
            state.acceptedUnder(),
            state.accepted(),
            state.draft(),
            state.newest(),
            state.document(),
            state.from());
    if (!p.ballot().equals(state.promised()) && !save(next)) {
      return null;
    }
    return new RevisionMessage.Promise(
        p.ballot(), p.number(), state.acceptedUnder(), state.accepted());
  }

  /**
   * Whether that may be accepted with its document: it follows what is proved, and is not too
   * large.
   */
  boolean follows(Revision r) {
    Revision newest = state.newest() == null ? null : state.newest().revision();
    return holdsNewest()
        && takesPart(r.number())
        && r.size() >= 0
        && r.size() <= Revision.MAX_DOCUMENT_BYTES
        && Arrays.equals(r.previous(), Revision.chain(newest));
  }

  /** The answer to phase two with the document at hand; null where there is none. */
  RevisionMessage propose(RevisionMessage.Propose p, String sender, byte[] document) {
    Revision r = p.revision();
    if (!plausible(p.ballot(), sender) || !follows(r)) {
      return null;
    }
    if (p.ballot().compareTo(state.promised()) < 0) {
      return new RevisionMessage.Rejected(p.ballot(), state.promised());
    }
    boolean again = p.ballot().equals(state.acceptedUnder());
    if (again && !r.equals(state.accepted()) || document == null || !r.describes(document)) {
      return null; // two under one ballot, or not the document that was announced: a lie
    }
    if (!again
        && !save(
            new ConsensusStore.State(
                p.ballot(),
                p.ballot(),
                r,
                document,
                state.newest(),
                state.document(),
                state.from()))) {
      return null;
    }
    return new RevisionMessage.Accepted(
        p.ballot(), r.number(), new Vote(name, seal.sign(r.chain())));
  }

  /**
   * A newer revision is known to be proved; false where it could not be saved and is still unknown
   * here.
   */
  boolean learn(RevisionMessage.Notice notice, byte[] document) {
    Revision r = notice.revision();
    boolean newer = r.number() > state.number();
    boolean same = !newer && r.number() == state.number() && r.equals(state.newest().revision());
    if (!newer && !(same && state.document() == null && document != null)) {
      return true;
    }
    byte[] held = document == null && r.equals(state.accepted()) ? state.draft() : document;
    boolean open = state.accepted() != null && state.accepted().number() > r.number();
    return save(
        new ConsensusStore.State(
            state.promised(),
            open ? state.acceptedUnder() : Ballot.NONE,
            open ? state.accepted() : null,
            open ? state.draft() : null,
            notice,
            held,
            state.from()));
  }

  /**
   * A majority of the others know nothing newer than that number: what was forgotten ends soon
   * after it.
   */
  void rejoin(long number) {
    if (state.from() == ConsensusStore.NEVER
        && number >= 0
        && number < Long.MAX_VALUE - FORGOTTEN) {
      save(
          new ConsensusStore.State(
              state.promised(),
              state.acceptedUnder(),
              state.accepted(),
              state.draft(),
              state.newest(),
              state.document(),
              number + FORGOTTEN + 1));
    }
  }

  private boolean save(ConsensusStore.State next) {
    boolean saved = store.save(next);
    state = saved ? next : state;
    return saved;
  }
}
