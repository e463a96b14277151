package reachloom.revision;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * All issuers in the settings: the size of a majority, and sending to the other issuers. Immutable
 * except for the sender's byte budget.
 */
final class IssuerGroup {
  private final String self;
  private final int quorum;
  private final Map<String, Peer> others = new TreeMap<>();
  private final RevisionMessageSender sender;

  /**
   * Creates a group, ordered by name.
   *
   * @param self the name of this issuer
   * @param issuers all issuers, including this one
   * @throws IllegalArgumentException if {@code issuers} lacks this issuer or has too many entries
   */
  IssuerGroup(String self, List<Peer> issuers, RevisionMessageSender sender) {
    this.self = self;
    this.sender = sender;
    issuers.forEach(issuer -> others.put(issuer.name(), issuer));
    quorum = ConsensusNode.quorum(others.size());
    if (others.remove(self) == null || others.size() >= ConsensusNode.MAX_ISSUERS) {
      throw new IllegalArgumentException(
          "the list of issuers must contain "
              + self
              + " and have at most "
              + ConsensusNode.MAX_ISSUERS
              + " entries: "
              + issuers.stream().map(Peer::name).toList());
    }
  }

  /** Returns the name of this issuer. */
  String self() {
    return self;
  }

  /** Returns the number of issuers that form a majority. */
  int quorum() {
    return quorum;
  }

  /** Returns the number of issuers, including this one. */
  int size() {
    return others.size() + 1;
  }

  /** Returns all issuers except this one, ordered by name. */
  List<Peer> others() {
    return List.copyOf(others.values());
  }

  /** Returns the issuer with that name; empty for this issuer or an unknown name. */
  Optional<Peer> other(String name) {
    return Optional.ofNullable(others.get(name));
  }

  /** Sends a message to another issuer; false if the byte budget or the name does not allow it. */
  boolean send(long nowNanos, String to, RevisionMessage message) {
    Peer peer = others.get(to);
    return peer != null && sender.send(nowNanos, to, peer.address(), List.of(message));
  }

  /** Sends a message to each other issuer; drops it where the byte budget is used up. */
  void sendToOthers(long nowNanos, RevisionMessage message) {
    others.keySet().forEach(to -> send(nowNanos, to, message));
  }
}
