package reachloom.gossip.wire;

import java.util.List;
import reachloom.gossip.Transport;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipUpdate;
import reachloom.peerreport.PeerReport;
import reachloom.revision.RevisionMessage;

/** A transport whose packets {@link GossipCodec} encodes; it computes their sizes on the wire. */
public abstract class EncodingTransport implements Transport {
  /** Returns the name of the sending instance. */
  protected abstract String sender();

  /**
   * Returns the size in bytes of the certificate that a datagram to {@code receiver} has to
   * include, 0 if the receiver is known to hold it.
   */
  protected abstract int certificateBytes(String receiver);

  @Override
  public int messageBytes(String to, MembershipMessage message) {
    return GossipCodec.datagramSize(sender(), message, certificateBytes(to));
  }

  @Override
  public int updateBytes(MembershipUpdate update) {
    return GossipCodec.updateSize(update);
  }

  @Override
  public int reportBytes(PeerReport report) {
    return GossipCodec.peerReportSize(report);
  }

  @Override
  public int revisionMessageBytes(RevisionMessage message) {
    return GossipCodec.revisionMessageSize(message);
  }

  @Override
  public int payloadBytes(int place, List<RevisionMessage> messages) {
    return GossipCodec.piggybackSize(place, messages);
  }
}
