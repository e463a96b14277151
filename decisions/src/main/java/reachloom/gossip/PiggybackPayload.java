package reachloom.gossip;

import java.util.Collection;
import java.util.List;
import reachloom.revision.Peer;
import reachloom.revision.RevisionMessage;

/**
 * What else rides on the packets of gossip: the revisions of the configuration. All methods are
 * called from the thread that calls {@link GossipProtocol}.
 */
public interface PiggybackPayload {
  /** The messages that ride on each packet. */
  List<RevisionMessage> messages();

  /** A packet of a member has brought these messages. */
  void onMessages(long nowNanos, Peer sender, List<RevisionMessage> messages);

  /** The members that are present have changed; this node is not among them. */
  void onPeers(long nowNanos, Collection<Peer> present);

  /** Time has passed; called as often as {@link GossipProtocol#tick}. */
  void tick(long nowNanos);
}
