package reachloom.revision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The documents of revisions that issuers have proposed or accepted, for the other issuers to
 * fetch, and the fetches of such documents that are under way. Bounded; the oldest document goes
 * first. Confined to the thread of its member.
 */
final class ProposalCache {
  /** One of each issuer, about. */
  private static final int MAX_DOCUMENTS = 8;

  private static final int MAX_FETCHES = 4;

  /** How often a holder is asked before a fetch is given up. */
  private static final int MAX_ATTEMPTS = 6;

  private record Proposal(Revision revision, byte[] document) {}

  private final Map<Long, Proposal> proposals = new LinkedHashMap<>(); // by fingerprint
  private final List<ChunkedFetch> fetches = new ArrayList<>();

  /** Holds the document of a proposed revision; it is not copied. */
  void hold(Revision revision, byte[] document) {
    proposals.put(revision.fingerprint(), new Proposal(revision, document));
    if (proposals.size() > MAX_DOCUMENTS) {
      proposals.remove(proposals.keySet().iterator().next());
    }
  }

  /** The document of the proposed revision with that number and fingerprint. */
  Optional<byte[]> document(long number, long fingerprint) {
    return Optional.ofNullable(proposals.get(fingerprint))
        .filter(proposal -> proposal.revision().number() == number)
        .map(Proposal::document);
  }

  /**
   * Begins to fetch a document.
   *
   * @param onCompleted is given the document, or nothing where it cannot be had; from within this
   *     call where too many fetches are under way
   */
  void fetch(long nowNanos, Revision revision, Peer from, Consumer<Optional<byte[]>> onCompleted) {
    if (fetches.size() >= MAX_FETCHES) {
      onCompleted.accept(Optional.empty());
      return;
    }
    ChunkedFetch fetch = new ChunkedFetch(revision, onCompleted);
    fetch.ask(nowNanos, from);
    fetches.add(fetch);
  }

  /** A piece has come, which may complete fetches. */
  void piece(
      long nowNanos, Peer sender, RevisionMessage.Chunk piece, RevisionLog log, PeerTable peers) {
    for (ChunkedFetch fetch : List.copyOf(fetches)) {
      Optional<byte[]> document = fetch.onChunk(nowNanos, sender, piece, log, peers);
      if (document.isPresent()) {
        fetches.remove(fetch);
        hold(fetch.revision, document.get());
        fetch.onCompleted.accept(document);
      }
    }
  }

  /** Asks again, or gives up, where it is time. */
  void step(long nowNanos, RevisionMessageSender sender) {
    for (ChunkedFetch fetch : List.copyOf(fetches)) {
      if (isSpent(fetch, nowNanos) || nowNanos >= fetch.giveUpAtNanos) {
        fetches.remove(fetch);
        fetch.onCompleted.accept(Optional.empty());
      } else {
        fetch.request(nowNanos, sender, null);
      }
    }
  }

  /** Whether its holder has not answered in time, so often that it is given up. */
  private static boolean isSpent(ChunkedFetch fetch, long nowNanos) {
    return fetch.attempts > 0 && fetch.isLate(nowNanos) && fetch.peersAsked++ >= MAX_ATTEMPTS;
  }

  /** The process was paused for so long: all deadlines move. */
  void shift(long byNanos) {
    fetches.forEach(fetch -> fetch.shift(byNanos));
  }
}
