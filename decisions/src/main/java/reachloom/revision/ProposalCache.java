package reachloom.revision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Documents of revisions that issuers have proposed or accepted, and those that are being fetched.
 */
final class ProposalCache {
  private record Draft(Revision revision, byte[] document) {}

  private static final int MOST = 8; // of each issuer one, about
  private static final int MAX_FETCHES = 4;
  private static final int TRIES = 6;

  private final Map<Long, Draft> drafts = new LinkedHashMap<>(); // by mark
  private final List<ChunkedFetch> fetches = new ArrayList<>();

  void hold(Revision revision, byte[] document) {
    drafts.put(revision.mark(), new Draft(revision, document));
    if (drafts.size() > MOST) {
      drafts.remove(drafts.keySet().iterator().next());
    }
  }

  /** The document of the draft with that number and mark, or null. */
  byte[] document(long number, long mark) {
    Draft d = drafts.get(mark);
    return d != null && d.revision.number() == number ? d.document : null;
  }

  /** Fetches one; {@code then} is given null where it can't be had. */
  void fetch(long now, Revision revision, Peer from, Consumer<byte[]> then) {
    if (fetches.size() >= MAX_FETCHES) {
      then.accept(null);
      return;
    }
    ChunkedFetch f = new ChunkedFetch(revision, then);
    f.ask(now, from);
    fetches.add(f);
  }

  void piece(
      long now, Peer sender, RevisionMessage.Piece p, RevisionLog log, PeerTable neighbours) {
    for (ChunkedFetch f : List.copyOf(fetches)) {
      Optional<byte[]> document = f.onChunk(now, sender, p, log, neighbours);
      if (document.isPresent()) {
        fetches.remove(f);
        hold(f.revision, document.get());
        f.onCompleted.accept(document.get());
      }
    }
  }

  /** Asks, or gives up, where it is time. */
  void step(long now, RevisionMessageSender outlet) {
    for (ChunkedFetch f : List.copyOf(fetches)) {
      if (f.attempts > 0 && f.isLate(now) && f.peersAsked++ >= TRIES || now >= f.giveUpAtNanos) {
        fetches.remove(f);
        f.onCompleted.accept(null);
      } else {
        f.request(now, outlet, null);
      }
    }
  }

  void shift(long by) {
    fetches.forEach(f -> f.shift(by));
  }
}
