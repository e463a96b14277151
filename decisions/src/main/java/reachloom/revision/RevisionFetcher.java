package reachloom.revision;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Fetches documents: that of the newest revision from any member that holds it, and at an issuer
 * that of a proposal from an issuer that holds it. Times are nanoseconds of the clock that the
 * caller passes in; confined to the thread of {@link RevisionDissemination}.
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

  /** Starts to fetch the document of the newest revision. */
  void start(long nowNanos, Revision newest) {
    scheduler.start(nowNanos, newest);
  }

  /** Stops fetching: the document of the newest revision is held. */
  void stop() {
    scheduler.stop();
  }

  /** Returns whether the document of that revision is being fetched. */
  boolean isFetching(Revision revision) {
    return scheduler.isFetching(revision);
  }

  /** Adds a peer that reports to hold the document of the newest revision. */
  void addSource(Peer peer) {
    scheduler.addSource(peer);
  }

  /** Handles a repeated announcement of the newest revision. */
  void onAnnounced(long nowNanos, Peer peer, Revision announced) {
    if (scheduler.isFetching(announced)) {
      scheduler.onAnnounced(nowNanos, peer);
    }
  }

  /** Handles a chunk of the newest revision; returns the document if that completes it. */
  Optional<byte[]> onChunk(long nowNanos, Peer from, RevisionMessage.Chunk chunk) {
    return scheduler.onChunk(nowNanos, from, chunk);
  }

  /** Handles a chunk of a proposal; passes a complete document to the callback of its fetch. */
  void onProposalChunk(long nowNanos, Peer from, RevisionMessage.Chunk chunk) {
    proposals.onChunk(nowNanos, from, chunk, log, peers);
  }

  /**
   * Fetches the document of a proposal from one issuer.
   *
   * @param holder an issuer that holds the document: it has proposed or accepted the proposal
   * @param onCompleted receives the document, or empty if it can't be fetched
   */
  void fetchProposal(
      long nowNanos, Revision proposal, Peer holder, Consumer<Optional<byte[]>> onCompleted) {
    proposals.fetch(nowNanos, proposal, holder, onCompleted);
    proposals.flush(nowNanos, sender);
  }

  /** Sends the requests that are due. */
  void flush(long nowNanos) {
    scheduler.flush(nowNanos);
    proposals.flush(nowNanos, sender);
  }

  /** Moves all deadlines: the time of a process pause does not count. */
  void shift(long byNanos) {
    scheduler.shift(byNanos);
    proposals.shift(byNanos);
  }

  /** Returns the status line of the fetch in progress: revision and peer. */
  Optional<String> statusLine() {
    return scheduler.statusLine();
  }
}
