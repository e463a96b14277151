package reachloom.gossip;

import java.util.List;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipUpdate;
import reachloom.peerreport.PeerReport;
import reachloom.revision.RevisionMessage;

/**
 * The content of one datagram: a message and what rides on it.
 *
 * @param sender the sender's name
 * @param address where the sender listens: IPv4 address and port in the lowest 48 bits
 * @param place the sender's region (upper byte) and zone (lower byte); 0 where it does not tell
 * @param incarnation the sender's incarnation
 * @param message the message itself
 * @param updates membership updates that ride on it
 * @param reports peer reports that ride on it
 * @param revisionMessages messages about the configuration that ride on it
 */
public record Packet(
    String sender,
    long address,
    int place,
    long incarnation,
    MembershipMessage message,
    List<MembershipUpdate> updates,
    List<PeerReport> reports,
    List<RevisionMessage> revisionMessages) {
  /** A packet of a sender that tells no place, and nothing of the configuration. */
  public Packet(
      String sender,
      long address,
      long incarnation,
      MembershipMessage message,
      List<MembershipUpdate> updates,
      List<PeerReport> reports) {
    this(sender, address, 0, incarnation, message, updates, reports, List.of());
  }
}
