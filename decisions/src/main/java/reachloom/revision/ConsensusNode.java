package reachloom.revision;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One issuer among the issuers: together they choose the next revision, one number after another,
 * by Paxos with one instance a number. Each signs what it has accepted and saved; the votes of a
 * majority are the proof that members ask for. Any issuer may propose; a higher ballot fences an
 * older one off.
 *
 * <p>Issuers may crash, pause, and lose messages in any way. One that lies can hold the others up,
 * and, since acceptors rest on its word for what others have accepted, bring about two proved
 * revisions of one number, which members do not take.
 *
 * <p>Times are nanoseconds of the clock that is handed in. All calls come from one thread, that of
 * the issuer's event loop, and results are reported on it.
 */
public final class ConsensusNode {
  private static final long SECOND = 1_000_000_000; // nanoseconds

  /** How many issuers settings may name at most. */
  public static final int MAX_ISSUERS = 9;

  /** A longer time between two events is a pause, after which nothing older is issued. */
  private static final long STANDSTILL_NANOS = 3 * SECOND;

  private final IssuerGroup group;
  private final RevisionRepository repository;
  private final Acceptor acceptor;
  private final ProposalResponder responder;
  private final Proposer proposer;
  private final LostStoreRecovery lostStore;
  private final Deque<Runnable> pendingReports = new ArrayDeque<>();
  private long lastEventNanos;

  /** The newest number that proposer and responder have been told of. */
  private long settledNumber;

  /**
   * An issuer that starts from what its store holds.
   *
   * @param name this issuer's name
   * @param issuers all issuers that the settings name, this one among them
   * @param random draws the random parts of waits
   * @param nowNanos the time of the start
   * @throws IllegalArgumentException if this issuer is not named, or more than {@link #MAX_ISSUERS}
   *     are
   */
  public ConsensusNode(
      String name,
      List<Peer> issuers,
      ConsensusEnvironment environment,
      SplittableRandom random,
      long nowNanos) {
    group = new IssuerGroup(name, issuers, environment.sender());
    repository = environment.repository();
    acceptor = new Acceptor(name, environment.signatures(), environment.store());
    responder = new ProposalResponder(group, acceptor, repository, () -> lastEventNanos);
    proposer = new Proposer(group, environment, acceptor, random, new ProposerEvents());
    lostStore = new LostStoreRecovery(group.quorum(), nowNanos);
    lastEventNanos = nowNanos;
    settledNumber = acceptor.state().newestNumber();
    restore(nowNanos);
  }

  /** Hands what the store held to the member. */
  private void restore(long nowNanos) {
    ConsensusState state = acceptor.state();
    state
        .newest()
        .ifPresent(
            chosen ->
                chosen
                    .document()
                    .ifPresent(document -> markChosen(nowNanos, chosen.notice(), document)));
    state
        .accepted()
        .ifPresent(accepted -> repository.addProposal(accepted.revision(), accepted.document()));
  }

  private void markChosen(long nowNanos, RevisionMessage.Notice notice, byte[] document) {
    repository.addChosen(nowNanos, notice.revision(), notice.votes(), document);
  }

  /** How many votes of so many issuers prove a revision: a majority. */
  public static int quorum(int issuers) {
    return issuers / 2 + 1;
  }

  // ---- Events ----

  /**
   * Messages have come in one packet.
   *
   * @param sender the member that sent them, which has been authenticated; those of members that
   *     are no issuers are ignored
   */
  public void receive(long nowNanos, Peer sender, List<RevisionMessage> messages) {
    beginEvent(nowNanos);
    if (group.other(sender.name()).isPresent()) {
      Receiver receiver = new Receiver(nowNanos, sender.name());
      messages.forEach(message -> message.dispatch(receiver));
    }
    endEvent();
  }

  /** Does what is due; to be called each 50 to 100 ms. */
  public void tick(long nowNanos) {
    beginEvent(nowNanos);
    recoverLostStore(nowNanos);
    proposer.tick(nowNanos);
    endEvent();
  }

  /**
   * Takes a document that is to be issued. One that waits when the next one is given is skipped.
   *
   * @param document is copied
   * @param client is told what has become of it, twice where the first result is not the last
   *     ({@link ProposalResult#isFinal}); also from within this call
   */
  public void propose(long nowNanos, byte[] document, Consumer<ProposalResult> client) {
    beginEvent(nowNanos);
    proposer.submit(nowNanos, document, client);
    endEvent();
  }

  private void beginEvent(long nowNanos) {
    long gapNanos = nowNanos - lastEventNanos;
    lastEventNanos = nowNanos;
    if (gapNanos > STANDSTILL_NANOS) {
      proposer.onStandstill(nowNanos, gapNanos);
    }
    proposer.expire(nowNanos);
    learn(nowNanos);
  }

  private void endEvent() {
    for (Runnable report = pendingReports.poll(); report != null; report = pendingReports.poll()) {
      report.run();
    }
  }

  /** Takes over what the member has come to know, and what could not be saved before. */
  private void learn(long nowNanos) {
    repository.newest().ifPresent(newest -> learn(nowNanos, newest));
  }

  private void learn(long nowNanos, RevisionMessage.Notice newest) {
    Revision revision = newest.revision();
    ConsensusState before = acceptor.state();
    boolean newer = revision.number() > before.newestNumber();
    boolean documentMissing =
        revision.number() == before.newestNumber() && !before.holdsNewestDocument();
    if (newer || documentMissing) {
      Optional<byte[]> held = repository.document(revision);
      // It may be held for a proposal alone: others may count on it from now on.
      held.ifPresent(document -> markChosen(nowNanos, newest, document));
      acceptor.learn(newest, held);
    }
    if (revision.number() > settledNumber) {
      settledNumber = revision.number();
      responder.onNewest();
      proposer.onNewest(nowNanos, revision);
    }
  }

  private void recoverLostStore(long nowNanos) {
    if (acceptor.state().firstVotingNumber() != ConsensusState.UNKNOWN_NUMBER) {
      return;
    }
    OptionalLong known = lostStore.knownToMajority();
    if (known.isPresent()) {
      acceptor.rejoin(known.getAsLong());
    } else if (lostStore.isQueryDue(nowNanos)) {
      // What they know travels in each packet, whatever is asked.
      group.sendToOthers(nowNanos, new RevisionMessage.Want(0, 0, 0, 0));
    }
  }

  // ---- What operators see ----

  /** The newest number that is known to be chosen, and saved; 0 for none. */
  public long newestNumber() {
    return acceptor.state().newestNumber();
  }

  /** What there is to tell, in lines of ASCII. */
  public List<String> statusLines() {
    ConsensusState state = acceptor.state();
    return List.of(
        "issuer "
            + group.self()
            + " of "
            + group.size()
            + " revision "
            + state.newestNumber()
            + " promised "
            + state.promised().round()
            + " of "
            + state.promised().issuer()
            + " accepted "
            + state.acceptedRevision().map(r -> Long.toString(r.number())).orElse("nothing")
            + ", "
            + participation(state));
  }

  private static String participation(ConsensusState state) {
    if (state.mayVote()) {
      return "takes part";
    }
    long first = state.firstVotingNumber();
    String from = first == ConsensusState.UNKNOWN_NUMBER ? "?" : Long.toString(first);
    return "store was lost, takes part from revision " + from + " on";
  }

  /** Takes the messages of one packet; those between members alone are no matter of consensus. */
  private final class Receiver implements RevisionMessage.Handler {
    private final long nowNanos;
    private final String sender;

    Receiver(long nowNanos, String sender) {
      this.nowNanos = nowNanos;
      this.sender = sender;
    }

    @Override
    public void onPrepare(RevisionMessage.Prepare message) {
      responder.onPrepare(nowNanos, message, sender);
    }

    @Override
    public void onPropose(RevisionMessage.Propose message) {
      responder.onPropose(nowNanos, message, sender);
    }

    @Override
    public void onPromise(RevisionMessage.Promise message) {
      proposer.onPromise(nowNanos, message, sender);
    }

    @Override
    public void onAccepted(RevisionMessage.Accepted message) {
      proposer.onAccepted(nowNanos, message, sender);
    }

    @Override
    public void onRejected(RevisionMessage.Rejected message) {
      proposer.onRejected(nowNanos, message);
    }

    @Override
    public void onHave(RevisionMessage.Have message) {
      lostStore.onKnownNumber(nowNanos, sender, message.known());
    }

    @Override
    public void onNotice(RevisionMessage.Notice message) {
      // the member checks and takes it
    }

    @Override
    public void onWant(RevisionMessage.Want message) {
      // the member answers it
    }

    @Override
    public void onChunk(RevisionMessage.Chunk message) {
      // the member takes it
    }

    @Override
    public void onAcknowledgement(RevisionMessage.Acknowledgement message) {
      // the member counts it
    }

    @Override
    public void onCensus(RevisionMessage.Census message) {
      // the member counts it
    }
  }

  /** What the proposer tells this node. */
  private final class ProposerEvents implements ProposerListener {
    @Override
    public void onChosen(long nowNanos, RevisionMessage.Notice notice, byte[] document) {
      markChosen(nowNanos, notice, document);
      group.sendToOthers(nowNanos, notice);
      learn(nowNanos);
    }

    @Override
    public void report(Consumer<ProposalResult> client, ProposalResult result) {
      pendingReports.add(() -> client.accept(result));
    }
  }
}
