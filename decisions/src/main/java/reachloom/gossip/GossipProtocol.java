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
 * One node among others: keeps the list of members, reports what it has seen of engines, weighs
 * what others report, and lets a payload ride on its packets.
 *
 * <p>Not thread-safe: all methods are called from one thread. Times are nanoseconds of the clock
 * handed in, which must not go back.
 */
public final class GossipProtocol implements MessageSender, RevisionMessageSender {
  private static final int ASSESSMENTS_PER_PERIOD = 4;
  private static final int ASSESSMENTS_PER_REPORT = 2; // at least, where failures are reported soon
  private static final double MIN_LEVEL_CHANGE = 0.1; // a level that moved by less stays unreported
  private static final int MAX_REPORTS_PER_PACKET = 32;

  /** A report takes no less; only bounds how many are looked at for one packet. */
  private static final int MIN_REPORT_BYTES = 24;

  /**
   * Bytes of payload messages in one packet: a certificate, the longest names and what rides on
   * each packet find room beside them.
   */
  private static final int MAX_PAYLOAD_BYTES = 700;

  /** Learns what peers make this node believe of engines. */
  public interface EngineLevelListener {
    /** The level of an engine, from 0 to 1, has changed; 0 where peers no longer accuse it. */
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

  /** The level last told to the listener, by engine. */
  private final Map<String, Double> toldLevels = new LinkedHashMap<>();

  private List<Assessment> assessments = List.of();
  private long nextAssessmentAtNanos;

  /** What rides on packets; null for nothing. */
  private PiggybackPayload payload;

  private boolean peersChanged;
  private boolean failureSeen;
  private long nextReportAtNanos;

  /**
   * A node that starts.
   *
   * @param seed of all its random choices
   * @param listener learns of engines whose level has changed
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

  /** Sizes of messages with what rides on each packet. */
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
   * Lets a payload ride on the packets from now on, and sets this node's region and zone; to be
   * called before it starts.
   */
  public void attachPayload(int place, PiggybackPayload attached) {
    membership.setPlace(place);
    payload = attached;
    peersChanged = true;
  }

  /** The members of the cluster. */
  public MembershipService membership() {
    return membership;
  }

  /** The peers' reports and reputations. */
  public WeightedQuorum quorum() {
    return quorum;
  }

  /** What peers make this node believe of engines, as of the last assessment. */
  public List<Assessment> assessments() {
    return assessments;
  }

  /**
   * An engine is in use from now on.
   *
   * @param incarnation the start of its process; another one than before clears what was reported
   */
  public void addEngine(String engine, long incarnation) {
    Long before = engines.put(engine, incarnation);
    if (before != null && before != incarnation) {
      ownOutcomes.forget(engine);
      if (toldLevels.remove(engine) != null) {
        listener.onLevelChanged(engine, 0);
      }
    }
  }

  /** An engine is no longer in use. */
  public void removeEngine(String engine) {
    engines.remove(engine);
    toldLevels.remove(engine);
    ownOutcomes.forget(engine);
  }

  /** An attempt of this node's own has shown something of an engine. */
  public void recordOutcome(long nowNanos, String engine, OutcomeWindow.Observation observation) {
    Long incarnation = engines.get(engine);
    if (incarnation != null) {
      ownOutcomes.record(nowNanos, engine, incarnation, observation);
      failureSeen |= observation != OutcomeWindow.Observation.SERVED;
    }
  }

  /** Time has passed; to be called as often as {@link MembershipService#tickIntervalNanos}. */
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
    for (String engine : List.copyOf(toldLevels.keySet())) {
      if (!levels.containsKey(engine)) {
        toldLevels.remove(engine);
        listener.onLevelChanged(engine, 0);
      }
    }
    levels.forEach(this::tellIfChanged);
  }

  private void tellIfChanged(String engine, double level) {
    double before = toldLevels.getOrDefault(engine, 0.0);
    boolean wasAccused = before >= WeightedQuorum.ACCUSED_LEVEL;
    boolean isAccused = level >= WeightedQuorum.ACCUSED_LEVEL;
    if (wasAccused != isAccused || Math.abs(level - before) >= MIN_LEVEL_CHANGE) {
      toldLevels.put(engine, level);
      listener.onLevelChanged(engine, level);
    }
  }

  /** A packet has come whose sender is authenticated. */
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

  /** Tells members that this node leaves. */
  public void leave(long nowNanos) {
    membership.leave(nowNanos);
  }

  // ---- What the membership sends ----

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
    List<RevisionMessage> riding = payload == null ? List.of() : payload.messages();
    transport.send(to, address, packet(message, List.copyOf(updates), reports, riding));
    return bytes;
  }

  /** The reports that fit into so many bytes. */
  private List<PeerReport> reportsFor(long nowNanos, int maxBytes) {
    int count = Math.min(MAX_REPORTS_PER_PACKET, maxBytes / MIN_REPORT_BYTES);
    if (count <= 0) {
      return List.of();
    }
    List<PeerReport> fitting = new ArrayList<>();
    int leftBytes = maxBytes;
    for (PeerReport report : ownOutcomes.reportsToSend(nowNanos, count)) {
      leftBytes -= transport.reportBytes(report);
      if (leftBytes < 0) {
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
      List<RevisionMessage> riding) {
    return new Packet(
        settings.name(),
        settings.address(),
        membership.place(),
        membership.incarnation(),
        message,
        updates,
        reports,
        riding);
  }

  @Override
  public void onMemberChanged(long nowNanos, MembershipUpdate member) {
    peersChanged = true;
    if (!member.state().present()) {
      quorum.onPeerGone(member.member());
    }
  }

  // ---- What the payload sends ----

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
      return false; // the payload is being started, and may have something to send already
    }
    MembershipMessage message = new MembershipMessage.PayloadOnly();
    List<RevisionMessage> all = new ArrayList<>(payload.messages());
    all.addAll(messages);
    int bytes =
        transport.messageBytes(to, message) + transport.payloadBytes(membership.place(), all);
    if (!membership.bandwidth().hasRoom(nowNanos, Purpose.REVISION, bytes)) {
      return false;
    }
    membership.bandwidth().record(nowNanos, bytes, 0);
    transport.send(to, address, packet(message, List.of(), List.of(), all));
    return true;
  }
}
