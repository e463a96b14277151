package reachloom.revision;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * A document that others have accepted and this issuer does not hold: it is fetched from one of
 * those that have it after the other. Belongs to one ballot of a {@link Proposer}.
 */
final class DocumentRetrieval {
  private final Revision revision;
  private final Deque<String> holders;

  DocumentRetrieval(Revision revision, Collection<String> holders) {
    this.revision = revision;
    this.holders = new ArrayDeque<>(holders);
  }

  /** Whose document is fetched. */
  Revision revision() {
    return revision;
  }

  /** Whom to ask next, of the issuers that can be reached; empty where all have been asked. */
  Optional<Peer> nextHolder(List<Peer> others) {
    Optional<Peer> holder = Optional.empty();
    while (holder.isEmpty() && !holders.isEmpty()) {
      String name = holders.poll();
      holder = others.stream().filter(peer -> peer.name().equals(name)).findFirst();
    }
    return holder;
  }
}
