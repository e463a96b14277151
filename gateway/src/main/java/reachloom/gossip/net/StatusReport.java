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
 * The status of an instance for operators, as lines of ASCII. Confined to the event loop's thread.
 */
final class StatusReport {
  /** Limit of a page in bytes, so that it fits into a datagram. */
  private static final int MAX_PAGE_BYTES = 900;

  private static final int MAX_PAGES = 200;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final long nowNanos;
  private final List<String> lines = new ArrayList<>();

  /** Creates an empty report for the given time of the event loop. */
  StatusReport(long nowNanos) {
    this.nowNanos = nowNanos;
  }

  /** Adds the name, cluster, incarnation and health of the instance. */
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
   * Adds the traffic that the instance sent and received.
   *
   * @param sentBytes bytes passed to the transport, including headers and dropped datagrams
   * @param bytesPerSecond the limit of the sending rate
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

  /** Adds the number of rejected datagrams by reason. */
  StatusReport rejections(Map<RejectionReason, Long> counts) {
    lines.add("refused " + counts);
    return this;
  }

  /** Adds a warning if the instance's own certificate is not valid at that time. */
  StatusReport certificate(X509Certificate certificate, Instant wallClock) {
    long millis = wallClock.toEpochMilli();
    if (millis < certificate.getNotBefore().getTime()
        || millis > certificate.getNotAfter().getTime()) {
      lines.add(
          "certificate of this instance is not valid by this machine's wall clock, " + wallClock);
    }
    return this;
  }

  /** Adds the given lines unchanged. */
  StatusReport lines(List<String> more) {
    lines.addAll(more);
    return this;
  }

  /** Adds each member, with the reputation of its reports of engines. */
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

  /** Adds the assessments of engines that follow from peer reports. */
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

  /** Returns the lines, truncated to the size of a page, with non-ASCII characters replaced. */
  List<String> lines() {
    return lines.stream().map(StatusReport::truncate).map(StatusReport::toAscii).toList();
  }

  private static String truncate(String line) {
    return line.length() > MAX_PAGE_BYTES - 1 ? line.substring(0, MAX_PAGE_BYTES - 1) : line;
  }

  private static String toAscii(String line) {
    return new String(line.getBytes(StandardCharsets.US_ASCII), StandardCharsets.US_ASCII);
  }

  /** Returns the lines in pages that each fit into a datagram; there is at least one page. */
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
