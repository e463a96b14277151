package reachloom.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import reachloom.membership.BandwidthLimiter.Purpose;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipService;
import reachloom.membership.MembershipSettings;
import reachloom.membership.MembershipUpdate;
import reachloom.membership.MessageSender;
import reachloom.membership.WireSizes;
import reachloom.peerreport.OutcomeWindow;
import reachloom.peerreport.PeerReport;
import reachloom.peerreport.WeightedQuorum;
import reachloom.peerreport.WeightedQuorum.Assessment;
import reachloom.revision.Peer;
import reachloom.revision.RevisionMessage;
import reachloom.revision.RevisionMessageSender;

/**
 * The gossip protocol of one node: maintains the list of members, reports the outcomes of attempts
 * at engines, weighs the reports of peers, and piggybacks a payload on its packets.
 *
 * <p>Not thread-safe: all methods are called from one thread. Times are nanoseconds of the caller's
 * clock, which must not go back.
 */
public final class GossipProtocol implements MessageSender, RevisionMessageSender {
  private static final int ASSESSMENTS_PER_PERIOD = 4;

  /** Minimum interval, in assessment intervals, between reports that failures trigger. */
  private static final int ASSESSMENTS_PER_REPORT = 2;

  private static final double MIN_LEVEL_CHANGE = 0.1; // smaller changes are not reported
  private static final int MAX_REPORTS_PER_PACKET = 32;

  /** The minimum size of a report, used only to bound how many are considered for one packet. */
  private static final int MIN_REPORT_BYTES = 24;

  /**
   * The maximum size of payload messages in one packet; leaves room for a certificate, the longest
   * names and the messages piggybacked on each packet.
   */
  private static final int MAX_PAYLOAD_BYTES = 700;

  /** Receives the levels of engines that result from the peers' reports. */
  public interface EngineLevelListener {
    /** Handles a changed level of an engine, from 0 (peers no longer accuse it) to 1. */
    void onLevelChanged(String engine, double level);
  }

  private final MembershipSettings settings;
  private final Transport transport;
  private final SizesWithPayload sizes = new SizesWithPayload();
  private final MembershipService membership;
  private final OutcomeWindow ownOutcomes = new OutcomeWindow();
  private final WeightedQuorum quorum = new WeightedQuorum(ownOutcomes);
  private final EngineLevelListener listener;
  private final long assessmentIntervalNanos;

  /** The incarnation of each engine in use, by name. */
  private final Map<String, Long> engines = new LinkedHashMap<>();

  /** The level last reported to the listener, by engine. */
  private final Map<String, Double> reportedLevels = new LinkedHashMap<>();

  private List<Assessment> assessments = List.of();
  private long nextAssessmentAtNanos;

  /** The payload piggybacked on packets; null for none. */
  private PiggybackPayload payload;

  private boolean peersChanged;
  private boolean failureSeen;
  private long nextReportAtNanos;

  /**
   * Creates the protocol of a starting node.
   *
   * @param seed the seed of all its random choices
   * @param listener receives the changed levels of engines
   */
  public GossipProtocol(
      MembershipSettings settings,
      long nowNanos,
      long seed,
      Transport transport,
      EngineLevelListener listener) {
    this.settings = settings;
    this.transport = transport;
    this.listener = listener;
    assessmentIntervalNanos = settings.periodNanos() / ASSESSMENTS_PER_PERIOD;
    membership = new MembershipService(settings, nowNanos, new SplittableRandom(seed), this, sizes);
  }

  /** Sizes of messages, including the payload piggybacked on each packet. */
  private final class SizesWithPayload implements WireSizes {
    @Override
    public int messageBytes(String to, MembershipMessage message) {
      int payloadBytes =
          payload == null ? 0 : transport.payloadBytes(membership.place(), payload.messages());
      return transport.messageBytes(to, message) + payloadBytes;
    }

    @Override
    public int updateBytes(MembershipUpdate update) {
      return transport.updateBytes(update);
    }
  }

  /**
   * Sets the payload to piggyback on packets, and this node's region and zone; must be called
   * before the node starts.
   */
  public void attachPayload(int place, PiggybackPayload attached) {
    membership.setPlace(place);
    payload = attached;
    peersChanged = true;
  }

  /** Returns the membership service. */
  public MembershipService membership() {
    return membership;
  }

  /** Returns the peers' reports and reputations. */
  public WeightedQuorum quorum() {
    return quorum;
  }

  /** Returns the results of the last assessment of the peers' reports. */
  public List<Assessment> assessments() {
    return assessments;
  }

  /**
   * Adds an engine that is in use.
   *
   * @param incarnation the start time of its process; a changed one clears the engine's outcomes
   *     and level
   */
  public void addEngine(String engine, long incarnation) {
    Long before = engines.put(engine, incarnation);
    if (before != null && before != incarnation) {
      ownOutcomes.forget(engine);
      if (reportedLevels.remove(engine) != null) {
        listener.onLevelChanged(engine, 0);
      }
    }
  }

  /** Removes an engine that is no longer in use. */
  public void removeEngine(String engine) {
    engines.remove(engine);
    reportedLevels.remove(engine);
    ownOutcomes.forget(engine);
  }

  /** Records an observation from an attempt of this node's own at an engine. */
  public void recordOutcome(long nowNanos, String engine, OutcomeWindow.Observation observation) {
    Long incarnation = engines.get(engine);
    if (incarnation != null) {
      ownOutcomes.record(nowNanos, engine, incarnation, observation);
      failureSeen |= observation != OutcomeWindow.Observation.SERVED;
    }
  }

  /**
   * Handles the actions that are due; must be called every {@link
   * MembershipService#tickIntervalNanos}.
   */
  public void tick(long nowNanos) {
    membership.tick(nowNanos);
    if (failureSeen && nowNanos >= nextReportAtNanos) {
      failureSeen = false;
      nextReportAtNanos = nowNanos + assessmentIntervalNanos * ASSESSMENTS_PER_REPORT;
      membership.sendPayload(nowNanos);
    }
    if (nowNanos >= nextAssessmentAtNanos) {
      nextAssessmentAtNanos = nowNanos + assessmentIntervalNanos;
      assess(nowNanos);
    }
    if (payload != null) {
      tickPayload(nowNanos);
    }
  }

  private void tickPayload(long nowNanos) {
    if (peersChanged) {
      peersChanged = false;
      payload.onPeers(
          nowNanos,
          membership.members().stream()
              .filter(member -> member.state().present())
              .map(member -> new Peer(member.name(), member.address(), member.place()))
              .toList());
    }
    payload.tick(nowNanos);
  }

  private void assess(long nowNanos) {
    assessments = quorum.assess(nowNanos, engines);
    Map<String, Double> levels = new LinkedHashMap<>();
    assessments.forEach(assessment -> levels.put(assessment.engine(), assessment.level()));
    for (String engine : List.copyOf(reportedLevels.keySet())) {
      if (!levels.containsKey(engine)) {
        reportedLevels.remove(engine);
        listener.onLevelChanged(engine, 0);
      }
    }
    levels.forEach(this::reportIfChanged);
  }

  private void reportIfChanged(String engine, double level) {
    double before = reportedLevels.getOrDefault(engine, 0.0);
    boolean wasAccused = before >= WeightedQuorum.ACCUSED_LEVEL;
    boolean isAccused = level >= WeightedQuorum.ACCUSED_LEVEL;
    if (wasAccused != isAccused || Math.abs(level - before) >= MIN_LEVEL_CHANGE) {
      reportedLevels.put(engine, level);
      listener.onLevelChanged(engine, level);
    }
  }

  /** Handles a packet whose sender is authenticated. */
  public void receive(long nowNanos, Packet packet) {
    membership.receive(
        nowNanos,
        packet.sender(),
        packet.address(),
        packet.place(),
        packet.incarnation(),
        packet.message(),
        packet.updates());
    if (membership.member(packet.sender()).isEmpty()) {
      return;
    }
    if (!packet.reports().isEmpty()) {
      quorum.onReports(nowNanos, packet.sender(), packet.reports());
    }
    if (payload != null && !packet.revisionMessages().isEmpty()) {
      Peer sender = new Peer(packet.sender(), packet.address(), packet.place());
      payload.onMessages(nowNanos, sender, packet.revisionMessages());
    }
  }

  /** Announces to members that this node leaves. */
  public void leave(long nowNanos) {
    membership.leave(nowNanos);
  }

  // ---- Messages of the membership service ----

  @Override
  public int send(
      long nowNanos,
      String to,
      long address,
      MembershipMessage message,
      List<MembershipUpdate> updates,
      int maxBytes) {
    int bytes = sizes.messageBytes(to, message);
    for (MembershipUpdate update : updates) {
      bytes += transport.updateBytes(update);
    }
    List<PeerReport> reports = reportsFor(nowNanos, maxBytes - bytes);
    for (PeerReport report : reports) {
      bytes += transport.reportBytes(report);
    }
    List<RevisionMessage> piggybacked = payload == null ? List.of() : payload.messages();
    transport.send(to, address, packet(message, List.copyOf(updates), reports, piggybacked));
    return bytes;
  }

  /** Returns the reports that fit into {@code maxBytes}. */
  private List<PeerReport> reportsFor(long nowNanos, int maxBytes) {
    int count = Math.min(MAX_REPORTS_PER_PACKET, maxBytes / MIN_REPORT_BYTES);
    if (count <= 0) {
      return List.of();
    }
    List<PeerReport> fitting = new ArrayList<>();
    int remainingBytes = maxBytes;
    for (PeerReport report : ownOutcomes.reportsToSend(nowNanos, count)) {
      remainingBytes -= transport.reportBytes(report);
      if (remainingBytes < 0) {
        break;
      }
      fitting.add(report);
    }
    return fitting;
  }

  private Packet packet(
      MembershipMessage message,
      List<MembershipUpdate> updates,
      List<PeerReport> reports,
      List<RevisionMessage> piggybacked) {
    return new Packet(
        settings.name(),
        settings.address(),
        membership.place(),
        membership.incarnation(),
        message,
        updates,
        reports,
        piggybacked);
  }

  @Override
  public void onMemberChanged(long nowNanos, MembershipUpdate member) {
    peersChanged = true;
    if (!member.state().present()) {
      quorum.onPeerRemoved(member.member());
    }
  }

  // ---- Messages of the payload ----

  @Override
  public int encodedBytes(RevisionMessage message) {
    return transport.revisionMessageBytes(message);
  }

  @Override
  public int maxPacketBytes() {
    return MAX_PAYLOAD_BYTES;
  }

  @Override
  public boolean send(long nowNanos, String to, long address, List<RevisionMessage> messages) {
    if (payload == null) {
      return false; // the payload may already send messages before it is attached
    }
    MembershipMessage message = new MembershipMessage.PayloadOnly();
    List<RevisionMessage> allMessages = new ArrayList<>(payload.messages());
    allMessages.addAll(messages);
    int bytes =
        transport.messageBytes(to, message)
            + transport.payloadBytes(membership.place(), allMessages);
    if (!membership.bandwidth().hasRoom(nowNanos, Purpose.REVISION, bytes)) {
      return false;
    }
    membership.bandwidth().record(nowNanos, bytes, 0);
    transport.send(to, address, packet(message, List.of(), List.of(), allMessages));
    return true;
  }
}
