package reachloom.gossip;

import java.util.List;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipUpdate;
import reachloom.peerreport.PeerReport;
import reachloom.revision.RevisionMessage;

/**
 * What goes over the wire at once: who sends, where it listens (IPv4 and port in the lowest 48
 * bits), at which place it is (0 where it does not say) and in which incarnation, one message, and
 * what rides on it.
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
  /** A packet of one that says no place, and nothing of the configuration. */
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
