package reachloom.gossip;

import java.util.List;
import reachloom.membership.WireSizes;
import reachloom.peerreport.PeerReport;
import reachloom.revision.RevisionMessage;

/** What carries packets, and knows what they weigh. */
public interface Transport extends WireSizes {
  /** One claim, in bytes. */
  int reportBytes(PeerReport claim);

  /** One word about the configuration, in bytes. */
  int revisionMessageBytes(RevisionMessage word);

  /**
   * What a place (0 for none) and words add to a packet, in bytes, with all that surrounds them.
   */
  int payloadBytes(int place, List<RevisionMessage> words);

  /**
   * Sends a packet to whoever listens at that address; an empty name where it is not known who
   * does.
   */
  void send(String to, long address, Packet packet);
}
