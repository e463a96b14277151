package reachloom.revision;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Formats the status lines of {@link RevisionDissemination} as printable ASCII. A member sends them
 * in datagrams; their texts are part of the status protocol and must not change.
 */
final class DisseminationStatus {
  private static final double NANOS_PER_SECOND = 1e9;

  private final RevisionLog log;
  private final PeerTable peers;
  private final RevisionActivation activation;
  private final RevisionFetcher fetcher;
  private final AcknowledgementTracker tracker;

  DisseminationStatus(
      RevisionLog log,
      PeerTable peers,
      RevisionActivation activation,
      RevisionFetcher fetcher,
      AcknowledgementTracker tracker) {
    this.log = log;
    this.peers = peers;
    this.activation = activation;
    this.fetcher = fetcher;
    this.tracker = tracker;
  }

  /** Returns all lines in a fixed order. */
  List<String> lines(long nowNanos) {
    List<String> lines = new ArrayList<>();
    lines.add(summaryLine(nowNanos));
    activation
        .applyingNumber()
        .ifPresent(number -> lines.add("revision " + number + " is being put in force"));
    fetcher.statusLine().ifPresent(lines::add);
    activation.rejectionLine().ifPresent(lines::add);
    log.forks().forEach(fork -> lines.add(forkLine(fork)));
    lines.addAll(peers.backoff().statusLines(nowNanos));
    if (peers.self().isIssuer()) {
      Map<Integer, Integer> present = new TreeMap<>();
      peers.peersByPlace().forEach((place, members) -> present.put(place, members.size()));
      lines.addAll(tracker.summary().statusLines(nowNanos, present));
    }
    return lines.stream().map(DisseminationStatus::ascii).toList();
  }

  private String summaryLine(long nowNanos) {
    String since =
        log.newest().isEmpty() ? "" : " since " + seconds(nowNanos - log.newestSinceNanos());
    String issuerMessageAge =
        peers.hasIssuerMessage()
            ? seconds(nowNanos - peers.lastIssuerMessageAtNanos()) + " ago"
            : "never";
    return "revision "
        + log.have().inForce()
        + " in force, newest known "
        + log.newestNumber()
        + since
        + ", issuers heard "
        + issuerMessageAge;
  }

  private static String forkLine(Revision fork) {
    return "fork: another revision "
        + fork.number()
        + " by "
        + fork.issuer()
        + " is proved and not taken";
  }

  private static String seconds(long nanos) {
    return String.format(Locale.ROOT, "%.1f s", nanos / NANOS_PER_SECOND);
  }

  private static String ascii(String text) {
    return text.replaceAll("[^ -~]", "?");
  }
}
