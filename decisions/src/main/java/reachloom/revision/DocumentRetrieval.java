package reachloom.revision;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Retrieval of a document that other issuers have accepted and this issuer does not hold: its
 * holders are tried one after another. Belongs to one ballot of a {@link Proposer}.
 */
final class DocumentRetrieval {
  private final Revision revision;
  private final Deque<String> holders;

  DocumentRetrieval(Revision revision, Collection<String> holders) {
    this.revision = revision;
    this.holders = new ArrayDeque<>(holders);
  }

  /** Returns the revision whose document is fetched. */
  Revision revision() {
    return revision;
  }

  /** Returns the next holder to try, out of the other issuers; empty once all have been tried. */
  Optional<Peer> nextHolder(List<Peer> others) {
    Optional<Peer> holder = Optional.empty();
    while (holder.isEmpty() && !holders.isEmpty()) {
      String name = holders.poll();
      holder = others.stream().filter(peer -> peer.name().equals(name)).findFirst();
    }
    return holder;
  }
}
