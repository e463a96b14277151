package reachloom.revision;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One issuer's node in the consensus among issuers. The issuers choose the revisions in order of
 * their numbers by Paxos, with one instance per revision number. Each issuer signs the revision
 * that it has accepted and saved; the votes of a majority are the proof that members verify. Any
 * issuer may propose; a higher ballot preempts a lower one.
 *
 * <p>The protocol tolerates issuers that crash, pause, or lose messages. It does not tolerate
 * Byzantine issuers: one that sends false messages can block the others, and, since acceptors trust
 * its word on what others have accepted, and proposers its report of what it has accepted itself,
 * can cause two proved revisions with one number (a fork), which members reject.
 *
 * <p>Times are nanoseconds of the clock that the caller passes in. All calls come from the thread
 * of the issuer's event loop, and results are reported on that thread.
 */
public final class ConsensusNode {
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /** Maximum number of issuers in the settings. */
  public static final int MAX_ISSUERS = 9;

  /** A longer gap between two events is a process pause; older requests are then withdrawn. */
  private static final long PAUSE_THRESHOLD_NANOS = 3 * NANOS_PER_SECOND;

  private final IssuerGroup group;
  private final RevisionRepository repository;
  private final Acceptor acceptor;
  private final ProposalResponder responder;
  private final Proposer proposer;
  private final LostStoreRecovery lostStore;
  private final Deque<Runnable> pendingReports = new ArrayDeque<>();
  private long lastEventNanos;

  /** The newest chosen number that proposer and responder have been notified of. */
  private long lastNotifiedNumber;

  /**
   * Creates a node that resumes from the state in its store.
   *
   * @param name this issuer's name
   * @param issuers all issuers in the settings, including this one
   * @param random source of the random parts of delays
   * @param nowNanos the start time
   * @throws IllegalArgumentException if {@code issuers} lacks this issuer or has more than {@link
   *     #MAX_ISSUERS} entries
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
    lastNotifiedNumber = acceptor.state().newestNumber();
    restore(nowNanos);
  }

  /** Passes the stored revisions and documents to the repository. */
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

  /** Returns the number of votes that prove a revision: a majority of that many issuers. */
  public static int quorum(int issuers) {
    return issuers / 2 + 1;
  }

  // ---- Events ----

  /**
   * Handles the messages of one packet.
   *
   * @param sender the authenticated sender; messages of members that are not issuers are ignored
   */
  public void receive(long nowNanos, Peer sender, List<RevisionMessage> messages) {
    beginEvent(nowNanos);
    if (group.other(sender.name()).isPresent()) {
      Receiver receiver = new Receiver(nowNanos, sender.name());
      messages.forEach(message -> message.dispatch(receiver));
    }
    endEvent();
  }

  /** Runs the timers that are due; to be called every 50 to 100 ms. */
  public void tick(long nowNanos) {
    beginEvent(nowNanos);
    recoverLostStore(nowNanos);
    proposer.tick(nowNanos);
    endEvent();
  }

  /**
   * Submits a document to be issued. It supersedes a submitted document that is not proposed yet.
   *
   * @param document the document; copied
   * @param client receives the result, possibly from within this call; receives a second one if the
   *     first is not final ({@link ProposalResult#isFinal}), unless the request is dropped as the
   *     oldest of more than four unresolved ones
   */
  public void propose(long nowNanos, byte[] document, Consumer<ProposalResult> client) {
    beginEvent(nowNanos);
    proposer.submit(nowNanos, document, client);
    endEvent();
  }

  private void beginEvent(long nowNanos) {
    long gapNanos = nowNanos - lastEventNanos;
    lastEventNanos = nowNanos;
    if (gapNanos > PAUSE_THRESHOLD_NANOS) {
      proposer.onPause(nowNanos, gapNanos);
    }
    proposer.expire(nowNanos);
    learn(nowNanos);
  }

  private void endEvent() {
    for (Runnable report = pendingReports.poll(); report != null; report = pendingReports.poll()) {
      report.run();
    }
  }

  /** Learns the newest revision from the repository; repeated until the store has saved it. */
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
      // The document may be held only in the proposal cache, which evicts the oldest ones. Others
      // may now rely on this issuer to hold the newest document, so it is added to the log.
      held.ifPresent(document -> markChosen(nowNanos, newest, document));
      acceptor.learn(newest, held);
    }
    if (revision.number() > lastNotifiedNumber) {
      lastNotifiedNumber = revision.number();
      responder.onNewest();
      proposer.onNewest(nowNanos, revision);
    }
  }

  private void recoverLostStore(long nowNanos) {
    if (acceptor.state().firstVotingNumber() != ConsensusState.UNKNOWN_NUMBER) {
      return;
    }
    OptionalLong bound = lostStore.maxOfLowestQuorum();
    if (bound.isPresent()) {
      acceptor.rejoin(bound.getAsLong());
    } else if (lostStore.isQueryDue(nowNanos)) {
      // Each reply packet carries the number that its sender knows, whatever the request.
      group.sendToOthers(nowNanos, new RevisionMessage.Want(0, 0, 0, 0));
    }
  }

  // ---- Status ----

  /** Returns the newest chosen number that this issuer has saved; 0 for none. */
  public long newestNumber() {
    return acceptor.state().newestNumber();
  }

  /** Returns the status of this issuer as lines of ASCII text. */
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

  /** Handles the messages of one packet; ignores those that the dissemination handles. */
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
      // verified and stored by RevisionDissemination
    }

    @Override
    public void onWant(RevisionMessage.Want message) {
      // answered by RevisionDissemination
    }

    @Override
    public void onChunk(RevisionMessage.Chunk message) {
      // handled by RevisionDissemination
    }

    @Override
    public void onAcknowledgement(RevisionMessage.Acknowledgement message) {
      // counted by RevisionDissemination
    }

    @Override
    public void onCensus(RevisionMessage.Census message) {
      // counted by RevisionDissemination
    }
  }

  /** Handles the events of this node's proposer. */
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
