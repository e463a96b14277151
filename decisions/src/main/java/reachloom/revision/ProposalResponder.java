package reachloom.revision;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Answers the requests of other issuers' proposers: gets the document that a vote needs, asks the
 * {@link Acceptor}, and tells an issuer that is behind what has been chosen. Confined to the thread
 * of its {@link ConsensusNode}.
 */
final class ProposalResponder {
  private static final long SECOND = 1_000_000_000; // nanoseconds

  /** A document that is being fetched is not asked for again within that time. */
  private static final long FETCH_INTERVAL_NANOS = 3 * SECOND;

  /** Asks for the newest chosen revision. */
  private static final RevisionMessage NEWEST_WANTED = new RevisionMessage.Want(0, 0, 0, 0);

  private final IssuerGroup group;
  private final Acceptor acceptor;
  private final RevisionRepository repository;
  private final LongSupplier clockNanos;

  /** The request whose document is being fetched; empty for none. */
  private Optional<RevisionMessage.Propose> fetching = Optional.empty();

  private long refetchAtNanos;

  /**
   * One that fetches nothing.
   *
   * @param clockNanos the time of the present event
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

  /** Another issuer begins phase one. */
  void onPrepare(long nowNanos, RevisionMessage.Prepare request, String sender) {
    answer(nowNanos, sender, request.number(), acceptor.prepare(request, sender));
  }

  /** Another issuer begins phase two; the answer may wait for the document. */
  void onPropose(long nowNanos, RevisionMessage.Propose request, String sender) {
    Revision revision = request.revision();
    boolean mayBeAccepted =
        acceptor.isPlausible(request.ballot(), sender)
            && acceptor.mayFollow(revision)
            && request.ballot().compareTo(acceptor.state().promised()) >= 0;
    Optional<byte[]> document = mayBeAccepted ? held(revision) : Optional.empty();
    if (!mayBeAccepted || document.isPresent()) {
      answer(nowNanos, sender, revision.number(), acceptor.propose(request, sender, document));
      return;
    }
    boolean alreadyFetching = isFetching(revision) && nowNanos < refetchAtNanos;
    fetching = Optional.of(request); // where it is being fetched, this may be a newer ballot
    if (!alreadyFetching) {
      refetchAtNanos = nowNanos + FETCH_INTERVAL_NANOS;
      repository.fetchProposal(
          nowNanos, revision, group.other(sender).orElseThrow(), got -> onFetched(revision, got));
    }
  }

  private Optional<byte[]> held(Revision revision) {
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
      answer(
          clockNanos.getAsLong(),
          proposer,
          revision.number(),
          acceptor.propose(request, proposer, document));
    }
  }

  /** A newer revision is chosen: what is being fetched is not needed any more. */
  void onNewest() {
    fetching = Optional.empty();
  }

  /** Sends the acceptor's reply; without one the sender or this issuer may be behind. */
  private void answer(long nowNanos, String sender, long number, Optional<RevisionMessage> reply) {
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
