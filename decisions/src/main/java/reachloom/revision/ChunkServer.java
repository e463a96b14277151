package reachloom.revision;

import java.util.Optional;

/**
 * Answers requests of other members for the newest notice, and for the chunks of a document or of a
 * delta. Documents of proposals are sent only to issuers. Times are nanoseconds of the clock that
 * the caller passes in; confined to the thread of {@link RevisionDissemination}.
 */
final class ChunkServer {
  private final RevisionLog log;
  private final PeerTable peers;
  private final ProposalCache proposals;
  private final TransferQueue transfers;
  private final NoticeSender notices;

  ChunkServer(
      RevisionLog log,
      PeerTable peers,
      ProposalCache proposals,
      TransferQueue transfers,
      NoticeSender notices) {
    this.log = log;
    this.peers = peers;
    this.proposals = proposals;
    this.transfers = transfers;
    this.notices = notices;
  }

  /** Queues the answer to a request. */
  void onRequest(long nowNanos, Peer from, RevisionMessage.Want request) {
    if (request.number() == 0) {
      // An earlier announcement may have been lost.
      notices.enqueue(nowNanos, from, EagerPush.ROUND_INTERVAL_NANOS);
      return;
    }
    Optional<byte[]> document = find(from, request);
    if (document.isPresent()) {
      queue(nowNanos, from, request, document.get());
    } else if (log.newestNumber() > request.number()) {
      notices.enqueue(nowNanos, from);
    }
  }

  private Optional<byte[]> find(Peer from, RevisionMessage.Want request) {
    boolean whole = request.base() == 0;
    Optional<byte[]> proved =
        log.withDocument(request.number(), whole ? request.baseFingerprint() : 0)
            .map(RevisionLog.Entry::document);
    if (proved.isPresent() || !whole || !peers.isIssuer(from.name())) {
      return proved;
    }
    return proposals.document(request.number(), request.baseFingerprint());
  }

  private void queue(long nowNanos, Peer from, RevisionMessage.Want request, byte[] document) {
    Optional<byte[]> delta =
        request.base() == 0
            ? Optional.empty()
            : log.withDocument(request.base(), request.baseFingerprint())
                .map(base -> Delta.encode(base.document(), document))
                .filter(encoded -> encoded.length < document.length);
    transfers.add(
        nowNanos,
        from,
        request.number(),
        delta.isPresent() ? request.base() : 0,
        delta.orElse(document),
        request.from());
  }
}
