package reachloom.gossip;

import java.util.Collection;
import java.util.List;
import reachloom.revision.Peer;
import reachloom.revision.RevisionMessage;

/** What else rides on gossip's packets: the configuration's revisions. Called from one thread. */
public interface PiggybackPayload {
  /** What rides on each packet. */
  List<RevisionMessage> messages();

  /** A packet of a member has come with these words. */
  void onMessages(long now, Peer sender, List<RevisionMessage> words);

  /** The members that are believed to be there have changed; this instance is not among them. */
  void onPeers(long now, Collection<Peer> present);

  /** Looks at the clock. */
  void tick(long now);
}
