package reachloom.revision;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Answers the requests of other issuers' proposers: fetches the document that a vote requires,
 * calls the {@link Acceptor}, and sends the newest chosen revision to an issuer that is behind.
 * Confined to the thread of its {@link ConsensusNode}.
 */
final class ProposalResponder {
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /** Minimum interval between two fetches of the same document. */
  private static final long FETCH_INTERVAL_NANOS = 3 * NANOS_PER_SECOND;

  /** Requests the newest chosen revision. */
  private static final RevisionMessage NEWEST_WANTED = new RevisionMessage.Want(0, 0, 0, 0);

  private final IssuerGroup group;
  private final Acceptor acceptor;
  private final RevisionRepository repository;
  private final LongSupplier clockNanos;

  /** The request whose document is being fetched; empty for none. */
  private Optional<RevisionMessage.Propose> fetching = Optional.empty();

  private long refetchAtNanos;

  /**
   * Creates a responder without a fetch in progress.
   *
   * @param clockNanos the time of the current event
   */
  ProposalResponder(
      IssuerGroup group,
      Acceptor acceptor,
      RevisionRepository repository,
      LongSupplier clockNanos) {
    this.group = group;
    this.acceptor = acceptor;
    this.repository = repository;
    this.clockNanos = clockNanos;
  }

  /** Handles another issuer's request of phase one. */
  void onPrepare(long nowNanos, RevisionMessage.Prepare request, String sender) {
    reply(nowNanos, sender, request.number(), acceptor.prepare(request, sender));
  }

  /** Handles another issuer's request of phase two; the reply may wait for the document. */
  void onPropose(long nowNanos, RevisionMessage.Propose request, String sender) {
    Revision revision = request.revision();
    boolean mayBeAccepted =
        acceptor.isPlausible(request.ballot(), sender)
            && acceptor.mayFollow(revision)
            && request.ballot().compareTo(acceptor.state().promised()) >= 0;
    Optional<byte[]> document = mayBeAccepted ? findDocument(revision) : Optional.empty();
    if (!mayBeAccepted || document.isPresent()) {
      reply(nowNanos, sender, revision.number(), acceptor.propose(request, sender, document));
      return;
    }
    boolean alreadyFetching = isFetching(revision) && nowNanos < refetchAtNanos;
    fetching = Optional.of(request); // the same revision may now have a higher ballot
    if (!alreadyFetching) {
      refetchAtNanos = nowNanos + FETCH_INTERVAL_NANOS;
      repository.fetchProposal(
          nowNanos, revision, group.other(sender).orElseThrow(), got -> onFetched(revision, got));
    }
  }

  private Optional<byte[]> findDocument(Revision revision) {
    return acceptor.state().acceptedDocument(revision).or(() -> repository.document(revision));
  }

  private boolean isFetching(Revision revision) {
    return fetching.filter(request -> request.revision().equals(revision)).isPresent();
  }

  private void onFetched(Revision revision, Optional<byte[]> document) {
    if (!isFetching(revision)) {
      return;
    }
    RevisionMessage.Propose request = fetching.orElseThrow();
    fetching = Optional.empty();
    if (document.isPresent()) {
      repository.addProposal(revision, document.get());
      String proposer = request.ballot().issuer();
      reply(
          clockNanos.getAsLong(),
          proposer,
          revision.number(),
          acceptor.propose(request, proposer, document));
    }
  }

  /** Cancels the fetch in progress: a newer revision is chosen, so no vote is needed. */
  void onNewest() {
    fetching = Optional.empty();
  }

  /** Sends the acceptor's reply; without a reply, helps the sender or this issuer catch up. */
  private void reply(long nowNanos, String sender, long number, Optional<RevisionMessage> reply) {
    ConsensusState state = acceptor.state();
    if (reply.isPresent()) {
      group.send(nowNanos, sender, reply.get());
    } else if (number <= state.newestNumber()) {
      state.newest().ifPresent(chosen -> group.send(nowNanos, sender, chosen.notice()));
    } else if (number > state.newestNumber() + 1) {
      group.send(nowNanos, sender, NEWEST_WANTED);
    }
  }
}
