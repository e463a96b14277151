package reachloom.gossip;

import java.util.List;
import reachloom.membership.WireSizes;
import reachloom.peerreport.PeerReport;
import reachloom.revision.RevisionMessage;

/** Sends packets, and computes the sizes of their parts on the wire. */
public interface Transport extends WireSizes {
  /** Returns the size of one peer report, in bytes. */
  int reportBytes(PeerReport report);

  /** Returns the size of one message about the configuration, in bytes. */
  int revisionMessageBytes(RevisionMessage message);

  /**
   * Returns the bytes that a place (0 for none) and messages about the configuration add to a
   * packet, section headers included.
   */
  int payloadBytes(int place, List<RevisionMessage> messages);

  /**
   * Sends a packet to an address (IPv4 and port in the lowest 48 bits); the name is empty if it is
   * unknown which node listens there.
   */
  void send(String to, long address, Packet packet);
}
