package reachloom.gossip;

import java.util.List;
import reachloom.membership.WireSizes;
import reachloom.peerreport.PeerReport;
import reachloom.revision.RevisionMessage;

/** Sends packets, and tells how large their parts are on the wire. */
public interface Transport extends WireSizes {
  /** The bytes of one peer report. */
  int reportBytes(PeerReport report);

  /** The bytes of one message about the configuration. */
  int revisionMessageBytes(RevisionMessage message);

  /**
   * The bytes that a place (0 for none) and messages about the configuration add to a packet, all
   * that surrounds them included.
   */
  int payloadBytes(int place, List<RevisionMessage> messages);

  /**
   * Sends a packet to whoever listens at an address (IPv4 and port in the lowest 48 bits); the name
   * is empty where it is not known who does.
   */
  void send(String to, long address, Packet packet);
}
