package reachloom.revision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The documents of revisions that issuers have proposed or accepted, which other issuers may fetch,
 * and the fetches of such documents in progress. Bounded; the oldest document is evicted first.
 * Confined to the thread of its member.
 */
final class ProposalCache {
  /** About one document per issuer. */
  private static final int MAX_DOCUMENTS = 8;

  private static final int MAX_FETCHES = 4;

  /** Maximum number of requests to a holder before a fetch is abandoned. */
  private static final int MAX_ATTEMPTS = 6;

  private record Proposal(Revision revision, byte[] document) {}

  private final Map<Long, Proposal> proposals = new LinkedHashMap<>(); // by fingerprint
  private final List<ChunkedFetch> fetches = new ArrayList<>();

  /** Caches the document of a proposed revision; the array is not copied. */
  void hold(Revision revision, byte[] document) {
    proposals.put(revision.fingerprint(), new Proposal(revision, document));
    if (proposals.size() > MAX_DOCUMENTS) {
      proposals.remove(proposals.keySet().iterator().next());
    }
  }

  /** Returns the document of the proposed revision with that number and fingerprint. */
  Optional<byte[]> document(long number, long fingerprint) {
    return Optional.ofNullable(proposals.get(fingerprint))
        .filter(proposal -> proposal.revision().number() == number)
        .map(Proposal::document);
  }

  /**
   * Starts fetching a document.
   *
   * @param onCompleted receives the document, or empty if it cannot be fetched; called from within
   *     this call if too many fetches are in progress
   */
  void fetch(long nowNanos, Revision revision, Peer from, Consumer<Optional<byte[]>> onCompleted) {
    if (fetches.size() >= MAX_FETCHES) {
      onCompleted.accept(Optional.empty());
      return;
    }
    ChunkedFetch fetch = new ChunkedFetch(revision, onCompleted);
    fetch.switchTo(nowNanos, from);
    fetches.add(fetch);
  }

  /** Handles a chunk, which may complete fetches. */
  void onChunk(
      long nowNanos, Peer sender, RevisionMessage.Chunk chunk, RevisionLog log, PeerTable peers) {
    for (ChunkedFetch fetch : List.copyOf(fetches)) {
      Optional<byte[]> document = fetch.onChunk(nowNanos, sender, chunk, log, peers);
      if (document.isPresent()) {
        fetches.remove(fetch);
        hold(fetch.revision, document.get());
        fetch.onCompleted.accept(document);
      }
    }
  }

  /** Sends the requests that are due; abandons fetches that have failed. */
  void flush(long nowNanos, RevisionMessageSender sender) {
    for (ChunkedFetch fetch : List.copyOf(fetches)) {
      if (isExhausted(fetch, nowNanos) || nowNanos >= fetch.giveUpAtNanos) {
        fetches.remove(fetch);
        fetch.onCompleted.accept(Optional.empty());
      } else {
        fetch.request(nowNanos, sender, null);
      }
    }
  }

  /** Counts a request that the holder left unanswered; returns whether there were too many. */
  private static boolean isExhausted(ChunkedFetch fetch, long nowNanos) {
    return fetch.attempts > 0 && fetch.isLate(nowNanos) && fetch.peersTried++ >= MAX_ATTEMPTS;
  }

  /** Moves all deadlines: the time of a process pause does not count. */
  void shift(long byNanos) {
    fetches.forEach(fetch -> fetch.shift(byNanos));
  }
}
