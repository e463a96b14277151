package reachloom.gossip;

import java.util.List;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipUpdate;
import reachloom.peerreport.PeerReport;
import reachloom.revision.RevisionMessage;

/**
 * The content of one datagram: a message and the parts piggybacked on it.
 *
 * @param sender the sender's name
 * @param address the address that the sender listens on: IPv4 address and port in the lowest 48
 *     bits
 * @param place the sender's region (upper byte) and zone (lower byte); 0 if it does not state them
 * @param incarnation the sender's incarnation
 * @param message the message itself
 * @param updates piggybacked membership updates
 * @param reports piggybacked peer reports
 * @param revisionMessages piggybacked messages about the configuration
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
  /** Creates a packet without a place and without messages about the configuration. */
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
