package reachloom.revision;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * All issuers that the settings name: how many make a majority, and how this one reaches the
 * others. Immutable but for the sender's byte budget.
 */
final class IssuerGroup {
  private final String self;
  private final int quorum;
  private final Map<String, Peer> others = new TreeMap<>();
  private final RevisionMessageSender sender;

  /**
   * A group with its members in the order of their names.
   *
   * @param self the name of this issuer
   * @param issuers all issuers, this one among them
   * @throws IllegalArgumentException if this one is not among them, or there are too many
   */
  IssuerGroup(String self, List<Peer> issuers, RevisionMessageSender sender) {
    this.self = self;
    this.sender = sender;
    issuers.forEach(issuer -> others.put(issuer.name(), issuer));
    quorum = ConsensusNode.quorum(others.size());
    if (others.remove(self) == null || others.size() >= ConsensusNode.MAX_ISSUERS) {
      throw new IllegalArgumentException(
          self + " is not one of 1 to " + ConsensusNode.MAX_ISSUERS + " issuers");
    }
  }

  /** The name of this issuer. */
  String self() {
    return self;
  }

  /** How many issuers are a majority. */
  int quorum() {
    return quorum;
  }

  /** How many issuers there are, this one included. */
  int size() {
    return others.size() + 1;
  }

  /** All issuers but this one, by name. */
  List<Peer> others() {
    return List.copyOf(others.values());
  }

  /** The issuer with that name, unless it is this one or none. */
  Optional<Peer> other(String name) {
    return Optional.ofNullable(others.get(name));
  }

  /** Sends a message to another issuer; false where there was no room, or none has that name. */
  boolean send(long nowNanos, String to, RevisionMessage message) {
    Peer peer = others.get(to);
    return peer != null && sender.send(nowNanos, to, peer.address(), List.of(message));
  }

  /** Sends a message to each other issuer; one that finds no room is dropped. */
  void sendToOthers(long nowNanos, RevisionMessage message) {
    others.keySet().forEach(to -> send(nowNanos, to, message));
  }
}
