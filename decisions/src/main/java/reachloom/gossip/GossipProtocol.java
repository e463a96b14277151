package reachloom.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import reachloom.membership.BandwidthLimiter;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipService;
import reachloom.membership.MembershipUpdate;
import reachloom.membership.MessageSender;
import reachloom.membership.WireSizes;
import reachloom.peerreport.OutcomeWindow;
import reachloom.peerreport.PeerReport;
import reachloom.peerreport.WeightedQuorum;
import reachloom.revision.Peer;
import reachloom.revision.RevisionMessage;
import reachloom.revision.RevisionMessageSender;

/**
 * One instance among others: keeps the list of members, tells what it has seen of engines, and
 * makes hearsay of what others tell. Times are nanoseconds of the clock handed in.
 */
public final class GossipProtocol implements MessageSender, RevisionMessageSender {
  private static final int REVIEWS = 4; // in a period
  private static final double STEP = 0.1; // a level that has moved by less is not told again
  private static final int MOST_CLAIMS = 32; // in one packet

  /**
   * Words in one packet: a certificate, the longest names and what always rides find room beside.
   */
  private static final int MOST_WORDS = 700; // bytes

  private final String name;
  private final long address;
  private final Transport transport;
  private final MembershipService membership;
  private final OutcomeWindow ledger = new OutcomeWindow();
  private final WeightedQuorum corroboration = new WeightedQuorum(ledger);
  private final BiConsumer<String, Double> hearsay;
  private final long reviewEvery;
  private final Map<String, Long> engines = new LinkedHashMap<>();
  private final Map<String, Double> told = new LinkedHashMap<>();
  private List<WeightedQuorum.Assessment> beliefs = List.of();
  private long nextReview;
  private PiggybackPayload rider;
  private boolean peersChanged;
  private boolean urgent;
  private long nextTell;

  /** An instance that starts; {@code hearsay} hears of engines whose level has changed. */
  public GossipProtocol(
      String name,
      long address,
      List<Long> seeds,
      long now,
      long period,
      int cap,
      long seed,
      Transport transport,
      BiConsumer<String, Double> hearsay) {
    this.name = name;
    this.address = address;
    this.transport = transport;
    this.hearsay = hearsay;
    reviewEvery = period / REVIEWS;
    membership =
        new MembershipService(
            name,
            address,
            seeds,
            now,
            period,
            cap,
            new SplittableRandom(seed),
            this,
            new WireSizes() {
              @Override
              public int messageBytes(String to, MembershipMessage message) {
                return transport.messageBytes(to, message) + riding();
              }

              @Override
              public int updateBytes(MembershipUpdate news) {
                return transport.updateBytes(news);
              }
            });
  }

  /**
   * Lets something ride on the packets from now on, and sets this instance's place; before it
   * starts.
   */
  public void attachPayload(int place, PiggybackPayload what) {
    membership.setPlace(place);
    rider = what;
    peersChanged = true;
  }

  /** Bytes of what rides on each packet. */
  private int riding() {
    return rider == null ? 0 : transport.payloadBytes(membership.place(), rider.messages());
  }

  public MembershipService membership() {
    return membership;
  }

  public WeightedQuorum quorum() {
    return corroboration;
  }

  /** What is believed by hearsay, as of the last review. */
  public List<WeightedQuorum.Assessment> assessments() {
    return beliefs;
  }

  /** An engine is in use from now on; {@code since} is the start of its process. */
  public void addEngine(String engine, long since) {
    Long old = engines.put(engine, since);
    if (old != null && old != since) { // another process: nothing said of the old one holds
      ledger.forget(engine);
      if (told.remove(engine) != null) {
        hearsay.accept(engine, 0.0);
      }
    }
  }

  /** An engine is no longer in use. */
  public void removeEngine(String engine) {
    engines.remove(engine);
    told.remove(engine);
    ledger.forget(engine);
  }

  /** This instance has seen something of an engine. */
  public void recordOutcome(long now, String engine, OutcomeWindow.Observation seen) {
    Long since = engines.get(engine);
    if (since != null) {
      ledger.record(now, engine, since, seen);
      urgent |= seen != OutcomeWindow.Observation.SERVED;
    }
  }

  /**
   * Looks at the clock; to be called as often as {@link MembershipService#tickIntervalNanos} says.
   */
  public void tick(long now) {
    membership.tick(now);
    if (urgent && now >= nextTell) {
      urgent = false;
      nextTell = now + reviewEvery * REVIEWS / 2;
      membership.sendPayload(now);
    }
    if (now >= nextReview) {
      nextReview = now + reviewEvery;
      review(now);
    }
    if (rider != null) {
      if (peersChanged) {
        peersChanged = false;
        rider.onPeers(
            now,
            membership.members().stream()
                .filter(m -> m.state().present())
                .map(m -> new Peer(m.name(), m.address(), m.place()))
                .toList());
      }
      rider.tick(now);
    }
  }

  private void review(long now) {
    beliefs = corroboration.assess(now, engines);
    Map<String, Double> levels = new LinkedHashMap<>();
    beliefs.forEach(b -> levels.put(b.engine(), b.level()));
    for (String engine : new ArrayList<>(told.keySet())) {
      if (!levels.containsKey(engine)) {
        told.remove(engine);
        hearsay.accept(engine, 0.0);
      }
    }
    levels.forEach(
        (engine, level) -> {
          double before = told.getOrDefault(engine, 0.0);
          boolean crossed =
              before >= WeightedQuorum.ACCUSED_LEVEL != level >= WeightedQuorum.ACCUSED_LEVEL;
          if (crossed || Math.abs(level - before) >= STEP) {
            told.put(engine, level);
            hearsay.accept(engine, level);
          }
        });
  }

  /** A packet has come whose sender is proved. */
  public void receive(long now, Packet p) {
    membership.receive(
        now, p.sender(), p.address(), p.place(), p.incarnation(), p.message(), p.updates());
    if (membership.member(p.sender()) == null) {
      return;
    }
    if (!p.reports().isEmpty()) {
      corroboration.onReports(now, p.sender(), p.reports());
    }
    if (rider != null && !p.revisionMessages().isEmpty()) {
      rider.onMessages(now, new Peer(p.sender(), p.address(), p.place()), p.revisionMessages());
    }
  }

  /** Says good-bye. */
  public void leave(long now) {
    membership.leave(now);
  }

  // ---- What the membership sends ----

  @Override
  public int send(
      long now,
      String to,
      long at,
      MembershipMessage message,
      List<MembershipUpdate> news,
      int most) {
    int size = transport.messageBytes(to, message) + riding();
    for (MembershipUpdate n : news) {
      size += transport.updateBytes(n);
    }
    List<PeerReport> claims = new ArrayList<>();
    if (size < most) {
      int room = most - size;
      int fit = Math.min(MOST_CLAIMS, room / LEAST_CLAIM);
      for (PeerReport c : fit <= 0 ? List.<PeerReport>of() : ledger.reportsToSend(now, fit)) {
        int weight = transport.reportBytes(c);
        if (weight > room) {
          break;
        }
        claims.add(c);
        room -= weight;
        size += weight;
      }
    }
    send(to, at, message, List.copyOf(news), claims, rider == null ? List.of() : rider.messages());
    return size;
  }

  private void send(
      String to,
      long at,
      MembershipMessage message,
      List<MembershipUpdate> news,
      List<PeerReport> claims,
      List<RevisionMessage> words) {
    transport.send(
        to,
        at,
        new Packet(
            name,
            address,
            membership.place(),
            membership.incarnation(),
            message,
            news,
            claims,
            words));
  }

  // ---- What rides ----

  @Override
  public int encodedBytes(RevisionMessage word) {
    return transport.revisionMessageBytes(word);
  }

  @Override
  public int maxPacketBytes() {
    return MOST_WORDS;
  }

  @Override
  public boolean send(long now, String to, long at, List<RevisionMessage> words) {
    if (rider == null) {
      return false; // what rides is being started, and may have something to say already
    }
    MembershipMessage.PayloadOnly tell = new MembershipMessage.PayloadOnly();
    List<RevisionMessage> all = new ArrayList<>(rider.messages());
    all.addAll(words);
    int size = transport.messageBytes(to, tell) + transport.payloadBytes(membership.place(), all);
    if (!membership.bandwidth().hasRoom(now, BandwidthLimiter.Purpose.REVISION, size)) {
      return false;
    }
    membership.bandwidth().record(now, size, 0);
    send(to, at, tell, List.of(), List.of(), all);
    return true;
  }

  /** A claim takes no less; only so that no more are looked at than may fit. */
  private static final int LEAST_CLAIM = 24;

  @Override
  public void onMemberChanged(long now, MembershipUpdate member) {
    peersChanged = true;
    if (!member.state().present()) {
      corroboration.onPeerGone(member.member());
    }
  }
}
