package reachloom.revision;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Gets documents to this member: that of the newest revision from any member that holds it, and at
 * an issuer those of proposals from the issuers that propose them. Times are nanoseconds of the
 * clock handed in; confined to the thread of {@link RevisionDissemination}.
 */
final class RevisionFetcher {
  private final RevisionLog log;
  private final PeerTable peers;
  private final ProposalCache proposals;
  private final RevisionMessageSender sender;
  private final FetchScheduler scheduler;

  RevisionFetcher(
      RevisionLog log,
      PeerTable peers,
      ProposalCache proposals,
      RevisionMessageSender sender,
      SplittableRandom random) {
    this.log = log;
    this.peers = peers;
    this.proposals = proposals;
    this.sender = sender;
    scheduler = new FetchScheduler(peers, log, sender, random);
  }

  /** Fetches the document of the newest revision from now on. */
  void start(long nowNanos, Revision newest) {
    scheduler.start(nowNanos, newest);
  }

  /** The document of the newest revision is held. */
  void stop() {
    scheduler.stop();
  }

  /** Whether the document of that revision is being fetched. */
  boolean isFetching(Revision revision) {
    return scheduler.isFetching(revision);
  }

  /** A peer says that it holds the document of the newest revision. */
  void addSource(Peer peer) {
    scheduler.addSource(peer);
  }

  /** A peer has announced the newest revision once more. */
  void onAnnounced(long nowNanos, Peer peer, Revision announced) {
    if (scheduler.isFetching(announced)) {
      scheduler.onAnnounced(nowNanos, peer);
    }
  }

  /** Takes a chunk of the newest revision; gives its document if that completes it. */
  Optional<byte[]> onChunk(long nowNanos, Peer from, RevisionMessage.Chunk chunk) {
    return scheduler.onChunk(nowNanos, from, chunk);
  }

  /** Takes a chunk of a proposal; who waits for the document is told. */
  void onProposalChunk(long nowNanos, Peer from, RevisionMessage.Chunk chunk) {
    proposals.piece(nowNanos, from, chunk, log, peers);
  }

  /**
   * Fetches the document of a proposal from the issuer that proposes it.
   *
   * @param onCompleted is given the document, or nothing where it can't be had
   */
  void fetchProposal(
      long nowNanos, Revision proposal, Peer proposer, Consumer<Optional<byte[]>> onCompleted) {
    proposals.fetch(nowNanos, proposal, proposer, onCompleted);
    proposals.step(nowNanos, sender);
  }

  /** Sends the requests that are due. */
  void step(long nowNanos) {
    scheduler.step(nowNanos);
    proposals.step(nowNanos, sender);
  }

  /** Moves all deadlines: time in which this process stood still does not count. */
  void shift(long byNanos) {
    scheduler.shift(byNanos);
    proposals.shift(byNanos);
  }

  /** What is being fetched, and from whom, for the status lines. */
  Optional<String> statusLine() {
    return scheduler.statusLine();
  }
}
