package reachloom.gossip;

import java.util.Collection;
import java.util.List;
import reachloom.revision.Peer;
import reachloom.revision.RevisionMessage;

/**
 * A payload that is piggybacked on gossip packets: the revisions of the configuration. All methods
 * are called from the thread that calls {@link GossipProtocol}.
 */
public interface PiggybackPayload {
  /** Returns the messages to piggyback on each packet. */
  List<RevisionMessage> messages();

  /** Handles the messages that were received in a member's packet. */
  void onMessages(long nowNanos, Peer sender, List<RevisionMessage> messages);

  /** Handles a change of the present members, which do not include this node. */
  void onPeers(long nowNanos, Collection<Peer> present);

  /** Handles the actions that are due; called as often as {@link GossipProtocol#tick}. */
  void tick(long nowNanos);
}
