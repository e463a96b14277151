package reachloom.gossip.net;

import java.nio.charset.StandardCharsets;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import reachloom.gossip.RejectionReason;
import reachloom.membership.Member;
import reachloom.membership.MembershipService;
import reachloom.peerreport.WeightedQuorum;
import reachloom.peerreport.WeightedQuorum.Assessment;

/**
 * What an operator wants to know of an instance, a line each, in ASCII. Built and read on the event
 * loop's thread.
 */
final class StatusReport {
  /** The largest page, in bytes: it has to fit into a datagram. */
  private static final int MAX_PAGE_BYTES = 900;

  private static final int MAX_PAGES = 200;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final long nowNanos;
  private final List<String> lines = new ArrayList<>();

  /** Creates an empty report as of that time of the event loop. */
  StatusReport(long nowNanos) {
    this.nowNanos = nowNanos;
  }

  /** Adds who the instance is. */
  StatusReport instance(String name, String clusterName, MembershipService membership) {
    lines.add(
        "instance "
            + name
            + " cluster "
            + clusterName
            + " incarnation "
            + membership.incarnation()
            + " health "
            + membership.healthScore()
            + " members "
            + membership.size());
    return this;
  }

  /**
   * Adds what it sent and received.
   *
   * @param sentBytes bytes handed to the transport, headers and those dropped included
   * @param bytesPerSecond the limit of what it sends
   */
  StatusReport traffic(long sentBytes, int bytesPerSecond, DatagramTransport transport) {
    GossipNode.Traffic traffic = transport.traffic();
    lines.add(
        "bytes sent "
            + sentBytes
            + " cap "
            + bytesPerSecond
            + " a second, datagrams dropped "
            + transport.dropped()
            + ", sent "
            + traffic.sent()
            + ", received "
            + traffic.received()
            + " of "
            + traffic.receivedBytes()
            + " bytes");
    return this;
  }

  /** Adds how many datagrams were rejected, by reason. */
  StatusReport rejections(Map<RejectionReason, Long> counts) {
    lines.add("refused " + counts);
    return this;
  }

  /** Adds a warning where the instance's own certificate is not valid at that time. */
  StatusReport certificate(X509Certificate certificate, Instant wallClock) {
    long millis = wallClock.toEpochMilli();
    if (millis < certificate.getNotBefore().getTime()
        || millis > certificate.getNotAfter().getTime()) {
      lines.add(
          "certificate of this instance is not valid by this machine's wall clock, " + wallClock);
    }
    return this;
  }

  /** Adds lines as they are. */
  StatusReport lines(List<String> more) {
    lines.addAll(more);
    return this;
  }

  /** Adds each member, and how far its reports of engines are trusted. */
  StatusReport members(MembershipService membership, WeightedQuorum quorum) {
    membership.members().forEach(member -> lines.add(line(member, quorum)));
    return this;
  }

  private String line(Member member, WeightedQuorum quorum) {
    return "member "
        + member.name()
        + " "
        + PackedAddress.unpack(member.address()).toString().substring(1)
        + " "
        + member.state()
        + " incarnation "
        + member.incarnation()
        + " for "
        + (nowNanos - member.sinceNanos()) / NANOS_PER_SECOND
        + " s standing "
        + String.format("%.2f", quorum.reputation(member.name()))
        + " contradicted "
        + quorum.contradictions(member.name());
  }

  /** Adds what is believed of engines by peers' reports. */
  StatusReport assessments(List<Assessment> assessments) {
    for (Assessment assessment : assessments) {
      lines.add(
          "engine "
              + assessment.engine()
              + " level "
              + String.format("%.2f", assessment.level())
              + " accused by "
              + String.join(",", assessment.accusers())
              + " vouched for by "
              + String.join(",", assessment.vouchers()));
    }
    return this;
  }

  /** Returns the lines, cut to what fits into a page, other characters than ASCII replaced. */
  List<String> lines() {
    return lines.stream().map(StatusReport::cut).map(StatusReport::ascii).toList();
  }

  private static String cut(String line) {
    return line.length() > MAX_PAGE_BYTES - 1 ? line.substring(0, MAX_PAGE_BYTES - 1) : line;
  }

  private static String ascii(String line) {
    return new String(line.getBytes(StandardCharsets.US_ASCII), StandardCharsets.US_ASCII);
  }

  /** Returns the lines in pages that fit into a datagram each; there is always one. */
  List<String> pages() {
    List<String> pages = new ArrayList<>();
    StringBuilder page = new StringBuilder();
    for (String line : lines()) {
      if (page.length() + line.length() + 1 > MAX_PAGE_BYTES) {
        pages.add(page.toString());
        page.setLength(0);
      }
      page.append(line).append('\n');
    }
    pages.add(page.toString());
    return pages.subList(0, Math.min(MAX_PAGES, pages.size()));
  }
}
