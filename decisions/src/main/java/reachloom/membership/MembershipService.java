package reachloom.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import reachloom.membership.BandwidthLimiter.Purpose;

/**
 * One node's part in keeping the list of members of a cluster, after SWIM (Das, Gupta, Motivala,
 * DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018). It puts the parts in order:
 * {@link FailureDetector}, {@link SuspicionTracker}, {@link JoinProtocol}, {@link AntiEntropySync}
 * and {@link UpdateProcessor}.
 *
 * <p>Beyond the sources: nobody is believed about the failure of another. That a member has failed
 * or left, told by a third one, is one more accusation, and each node lets the time to refute it
 * pass by itself; so that a node that lies can bring a healthy member under suspicion, but not out
 * of the list. A packet of a member's own, whose sender is authenticated, takes precedence over all
 * that others tell of its address and incarnation.
 *
 * <p>All times are nanoseconds of the clock handed in, which must not go back. Not thread-safe: all
 * methods are called from one thread. The same events and seed give the same messages in the same
 * order.
 */
public final class MembershipService {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final int TICKS_PER_PERIOD = 10; // more than that late is a pause
  private static final double MAX_LATE_SHARE = 0.5; // of a period, for a tick
  private static final int MAX_PAUSE_PENALTY = 10; // of the local health score
  private static final int LEAVE_RECEIVERS = 6; // members that are told that this node leaves
  private static final int PAYLOAD_RECEIVERS = 3; // members that one payload is sent to

  private final long periodNanos;
  private final LocalMember local;
  private final LocalHealth health = new LocalHealth();
  private final UpdateQueue updates = new UpdateQueue();
  private final BandwidthLimiter bandwidth;
  private final MemberTable members;
  private final MemberMessenger messenger;
  private final SuspicionTracker suspicions;
  private final FailureDetector detector;
  private final JoinProtocol joining;
  private final AntiEntropySync sync;
  private final UpdateProcessor processor;
  private long lastTickNanos;
  private boolean leaving;

  /**
   * A node that starts.
   *
   * @param nowNanos the present time; its seconds are the first incarnation
   * @param random the source of all random choices; used by this node alone
   * @param sender where messages and changes go
   * @param sizes sizes of messages on the wire
   */
  public MembershipService(
      MembershipSettings settings,
      long nowNanos,
      SplittableRandom random,
      MessageSender sender,
      WireSizes sizes) {
    String name = settings.name();
    periodNanos = settings.periodNanos();
    local = new LocalMember(name, settings.address(), nowNanos / SECOND_NANOS);
    bandwidth = new BandwidthLimiter(settings.maxBytesPerSecond());
    members = new MemberTable(periodNanos, random, updates, sender);
    // The parts draw from the random source as they are made: their order is part of the behaviour.
    messenger = new MemberMessenger(sender, sizes, bandwidth, updates, members, random);
    suspicions = new SuspicionTracker(name, periodNanos, members, updates, health);
    detector =
        new FailureDetector(
            name, nowNanos, periodNanos, members, messenger, health, suspicions, random);
    joining = new JoinProtocol(settings, nowNanos, members, messenger, random);
    sync = new AntiEntropySync(nowNanos, periodNanos, members, messenger, random);
    processor = new UpdateProcessor(local, health, updates, members, suspicions, joining, sync);
    lastTickNanos = nowNanos;
  }

  // ---- What is believed ----

  /** All members but this node in the order of their names, absent ones included; a view. */
  public Collection<Member> members() {
    return members.all();
  }

  /** The member of that name, also where it is absent; never this node. */
  public Optional<Member> member(String name) {
    return members.find(name);
  }

  /** How many members are present, this node included. */
  public int size() {
    return members.clusterSize();
  }

  /** The incarnation of this node; it grows with each wrong update about it that it refutes. */
  public long incarnation() {
    return local.incarnation();
  }

  /** Lifeguard's local health score of this node: 0 is healthy, 8 the worst. */
  public int healthScore() {
    return health.score();
  }

  /** The limit of all that this node sends, peer reports and answers to operators included. */
  public BandwidthLimiter bandwidth() {
    return bandwidth;
  }

  /** How often {@link #tick} is to be called, in nanoseconds. */
  public long tickIntervalNanos() {
    return periodNanos / TICKS_PER_PERIOD;
  }

  /** Replaces the addresses of the seeds; takes effect with the next attempt to join. */
  public void setSeeds(List<Long> seeds) {
    joining.setSeeds(seeds);
  }

  /**
   * Sets this node's region (upper byte) and zone (lower byte), before it starts; 0 where they are
   * not known.
   */
  public void setPlace(int place) {
    local.setPlace(place);
  }

  /** This node's region and zone; 0 where they are not known. */
  public int place() {
    return local.place();
  }

  // ---- Time ----

  /** Sends what is due, and judges what has timed out. */
  public void tick(long nowNanos) {
    compensateForPause(nowNanos);
    if (leaving) {
      return;
    }
    detector.tick(nowNanos);
    suspicions.judge(nowNanos, detector::pingSuspect);
    detector.expireRelayedPings(nowNanos);
    joining.tick(nowNanos);
    sync.tick(nowNanos);
    members.forgetAbsent(nowNanos);
  }

  /**
   * Where this process stood still, what it did not receive meanwhile counts against itself, not
   * against others. The cost: a member that fails during the pause is detected as much later.
   */
  private void compensateForPause(long nowNanos) {
    long lateNanos = nowNanos - lastTickNanos - tickIntervalNanos();
    lastTickNanos = nowNanos;
    if (lateNanos <= periodNanos * MAX_LATE_SHARE) {
      return;
    }
    health.worsen((int) Math.min(MAX_PAUSE_PENALTY, 1 + lateNanos / periodNanos));
    suspicions.extendAll(lateNanos);
    detector.extendPending(lateNanos);
  }

  // ---- Messages ----

  /** The same as the other {@code receive} for a sender that does not tell its place. */
  public void receive(
      long nowNanos,
      String sender,
      long address,
      long incarnation,
      MembershipMessage message,
      List<MembershipUpdate> carried) {
    receive(nowNanos, sender, address, 0, incarnation, message, carried);
  }

  /**
   * Takes in a packet whose sender is authenticated.
   *
   * @param sender the name of the sender
   * @param address where the sender tells that it listens
   * @param place the sender's region and zone; 0 where it does not tell
   * @param incarnation the sender's incarnation
   * @param carried the updates that came with the message
   */
  public void receive(
      long nowNanos,
      String sender,
      long address,
      int place,
      long incarnation,
      MembershipMessage message,
      List<MembershipUpdate> carried) {
    if (sender.equals(local.name()) || leaving) {
      return;
    }
    MembershipUpdate self =
        new MembershipUpdate(sender, address, incarnation, MemberState.ALIVE, "", place);
    Optional<Member> known = processor.onHeardFrom(nowNanos, self);
    if (known.isEmpty()) {
      return; // the table is full of others
    }
    Member member = known.get();
    if (!(message instanceof MembershipMessage.Leave)) {
      carried.forEach(update -> processor.apply(nowNanos, update, sender, true));
    }
    message.accept(new Dispatcher(nowNanos, member, incarnation));
  }

  /** What each kind of message brings about; its sender is a member. */
  private final class Dispatcher implements MembershipMessage.Visitor {
    private final long nowNanos;
    private final Member from;
    private final long incarnation;

    Dispatcher(long nowNanos, Member from, long incarnation) {
      this.nowNanos = nowNanos;
      this.from = from;
      this.incarnation = incarnation;
    }

    @Override
    public void visit(MembershipMessage.Ping ping) {
      if (ping.target().isEmpty()) {
        joining.welcome(nowNanos, from, local.toUpdate());
      } else {
        detector.onPing(nowNanos, from, ping);
      }
    }

    @Override
    public void visit(MembershipMessage.Ack ack) {
      detector.onAck(nowNanos, from, ack);
    }

    @Override
    public void visit(MembershipMessage.PingRequest request) {
      detector.onPingRequest(nowNanos, from, request);
    }

    @Override
    public void visit(MembershipMessage.Nack nack) {
      detector.onNack(nack);
    }

    @Override
    public void visit(MembershipMessage.SyncRequest request) {
      sync.onRequest(nowNanos, from, request);
    }

    @Override
    public void visit(MembershipMessage.SyncResponse response) {
      boolean agreed =
          sync.onResponse(
              nowNanos,
              from,
              response,
              update -> processor.apply(nowNanos, update, from.name(), false));
      if (agreed) {
        detector.enable();
      }
    }

    @Override
    public void visit(MembershipMessage.PayloadOnly payload) {
      // What it carries has been taken in.
    }

    @Override
    public void visit(MembershipMessage.StatusRequest request) {
      // Answered by the node that owns the socket.
    }

    @Override
    public void visit(MembershipMessage.StatusPage page) {
      // For operators' tools alone.
    }

    @Override
    public void visit(MembershipMessage.Leave leave) {
      if (incarnation >= from.incarnation && from.state != MemberState.LEFT) {
        members.transition(nowNanos, from, MemberState.LEFT, incarnation);
      }
    }
  }

  // ---- What this node begins ----

  /** Tells some members that this node leaves; from here on it neither pings nor answers. */
  public void leave(long nowNanos) {
    for (Member member : members.drawAlive(LEAVE_RECEIVERS)) {
      messenger.send(nowNanos, Purpose.PROBE, member, new MembershipMessage.Leave());
    }
    leaving = true;
  }

  /** Lets what rides on packets reach some members now, and not only with the next pings. */
  public void sendPayload(long nowNanos) {
    if (!leaving) {
      members
          .drawAlive(PAYLOAD_RECEIVERS)
          .forEach(
              member ->
                  messenger.send(
                      nowNanos, Purpose.SYNC, member, new MembershipMessage.PayloadOnly()));
    }
  }
}
