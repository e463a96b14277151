package reachloom.gossip.net;

import java.util.List;
import java.util.function.LongSupplier;
import reachloom.gossip.GossipProtocol;
import reachloom.gossip.Packet;
import reachloom.membership.BandwidthLimiter;
import reachloom.membership.MembershipMessage;

/**
 * Answers operators' requests for the status of this instance, one page per datagram, within the
 * bandwidth limit. Confined to the event loop.
 */
final class StatusResponder {
  private final String name;
  private final long address;
  private final GossipProtocol gossip;
  private final PacketSender sender;
  private final LongSupplier clockNanos;

  /**
   * Creates a responder.
   *
   * @param name this instance's name
   * @param address the packed address at which the instance listens
   */
  StatusResponder(
      String name,
      long address,
      GossipProtocol gossip,
      PacketSender sender,
      LongSupplier clockNanos) {
    this.name = name;
    this.address = address;
    this.gossip = gossip;
    this.sender = sender;
    this.clockNanos = clockNanos;
  }

  /**
   * Sends the requested page to the source of the request. Sends nothing if there is no such page
   * or the bandwidth limit is reached, so that the client repeats the request. The answer has the
   * time of sending of the request, which is fresh by the client's clock even if that clock differs
   * from this machine's.
   *
   * @param datagram the request with its sender's address and time
   * @param request the message of the request
   * @param report the current status
   */
  void answer(
      VerifiedDatagram datagram, MembershipMessage.StatusRequest request, StatusReport report) {
    List<String> pages = report.pages();
    if (request.page() < 0 || request.page() >= pages.size()) {
      return;
    }
    MembershipMessage answer =
        new MembershipMessage.StatusPage(request.page(), pages.size(), pages.get(request.page()));
    String operator = datagram.packet().sender();
    long nowNanos = clockNanos.getAsLong();
    int size = sender.messageBytes(operator, answer);
    BandwidthLimiter limiter = gossip.membership().bandwidth();
    if (limiter.hasRoom(nowNanos, BandwidthLimiter.Purpose.ANSWER, size)) {
      limiter.record(nowNanos, size, 0);
      sender.send(operator, datagram.source(), packet(answer), datagram.sentAtMillis());
    }
  }

  private Packet packet(MembershipMessage answer) {
    return new Packet(
        name, address, gossip.membership().incarnation(), answer, List.of(), List.of());
  }
}
