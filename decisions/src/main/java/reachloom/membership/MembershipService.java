package reachloom.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import reachloom.membership.BandwidthLimiter.Purpose;

/**
 * Maintains one node's list of the members of a cluster, after SWIM (Das, Gupta, Motivala, DSN
 * 2002) and Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018). It coordinates {@link
 * FailureDetector}, {@link SuspicionTracker}, {@link JoinProtocol}, {@link AntiEntropySync} and
 * {@link UpdateProcessor}.
 *
 * <p>Differences from these papers: a node does not accept another node's verdict that a member has
 * failed or left. Such an update counts as one more accusation, and each node runs the timeout for
 * a refutation by itself. A node that lies can therefore cause a healthy member to be suspected,
 * but not to be removed from the list. The first packet from the member itself, whose sender is
 * authenticated, corrects an address that other members reported for the same incarnation. A
 * reported incarnation that is too high stays until the member exceeds it.
 *
 * <p>All times are nanoseconds of the caller's clock, which must not go back. Not thread-safe: all
 * methods are called from one thread. The same events and seed give the same messages in the same
 * order.
 */
public final class MembershipService {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final int TICKS_PER_PERIOD = 10;
  private static final double MAX_TICK_DELAY_PERIODS = 0.5; // a longer delay counts as a pause
  private static final int MAX_PAUSE_PENALTY = 10; // points; 8 already give the worst health score
  private static final int LEAVE_RECEIVERS = 6; // members that receive the leave message
  private static final int PAYLOAD_RECEIVERS = 3; // members that receive one payload

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
   * Creates the service of a starting node.
   *
   * @param nowNanos the current time; its seconds are the first incarnation
   * @param random the source of all random choices; used by this node alone
   * @param sender sends the messages and receives the changes of members
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
    // The constructors draw from the random source, so their order is part of the behaviour.
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

  // ---- Members and settings ----

  /**
   * Returns a view of all members except this node in the order of their names, absent ones
   * included.
   */
  public Collection<Member> members() {
    return members.all();
  }

  /** Returns the member of that name, even if it is absent; never this node. */
  public Optional<Member> member(String name) {
    return members.find(name);
  }

  /** Returns the number of present members, this node included. */
  public int size() {
    return members.clusterSize();
  }

  /** Returns the incarnation of this node, which grows with each wrong update that it refutes. */
  public long incarnation() {
    return local.incarnation();
  }

  /** Returns Lifeguard's local health score of this node, from 0 (healthy) to 8. */
  public int healthScore() {
    return health.score();
  }

  /** Returns the limiter of all that this node sends, peer reports and status pages included. */
  public BandwidthLimiter bandwidth() {
    return bandwidth;
  }

  /** Returns the interval at which {@link #tick} must be called, in nanoseconds. */
  public long tickIntervalNanos() {
    return periodNanos / TICKS_PER_PERIOD;
  }

  /** Replaces the addresses of the seeds; takes effect with the next attempt to join. */
  public void setSeeds(List<Long> seeds) {
    joining.setSeeds(seeds);
  }

  /**
   * Sets this node's region (upper byte) and zone (lower byte), before it starts; 0 if they are
   * unknown.
   */
  public void setPlace(int place) {
    local.setPlace(place);
  }

  /** Returns this node's region and zone; 0 if they are unknown. */
  public int place() {
    return local.place();
  }

  // ---- Time ----

  /** Sends the messages that are due, and handles expired timeouts. */
  public void tick(long nowNanos) {
    compensateForPause(nowNanos);
    if (leaving) {
      return;
    }
    detector.tick(nowNanos);
    suspicions.expireSuspicions(nowNanos, detector::pingSuspect);
    detector.expireRelayedPings(nowNanos);
    joining.tick(nowNanos);
    sync.tick(nowNanos);
    members.removeExpiredAbsent(nowNanos);
  }

  /**
   * After a pause of this process, worsens the node's own health score and extends the pending
   * deadlines: messages missed during the pause must not count against other members. The cost: the
   * failure of a member during the pause is detected later by the length of the pause and one more
   * timeout.
   */
  private void compensateForPause(long nowNanos) {
    long lateNanos = nowNanos - lastTickNanos - tickIntervalNanos();
    lastTickNanos = nowNanos;
    if (lateNanos <= periodNanos * MAX_TICK_DELAY_PERIODS) {
      return;
    }
    health.worsen((int) Math.min(MAX_PAUSE_PENALTY, 1 + lateNanos / periodNanos));
    suspicions.extendAll(lateNanos);
    detector.extendPending(lateNanos);
  }

  // ---- Messages ----

  /** Handles a packet as the other {@code receive} does, from a sender whose place is unknown. */
  public void receive(
      long nowNanos,
      String sender,
      long address,
      long incarnation,
      MembershipMessage message,
      List<MembershipUpdate> piggybackedUpdates) {
    receive(nowNanos, sender, address, 0, incarnation, message, piggybackedUpdates);
  }

  /**
   * Handles a packet whose sender is authenticated.
   *
   * @param sender the name of the sender
   * @param address the address that the sender listens on, as stated in the packet
   * @param place the sender's region and zone; 0 if the packet does not state them
   * @param incarnation the sender's incarnation
   * @param piggybackedUpdates the updates piggybacked on the message
   */
  public void receive(
      long nowNanos,
      String sender,
      long address,
      int place,
      long incarnation,
      MembershipMessage message,
      List<MembershipUpdate> piggybackedUpdates) {
    if (sender.equals(local.name()) || leaving) {
      return;
    }
    MembershipUpdate self =
        new MembershipUpdate(sender, address, incarnation, MemberState.ALIVE, "", place);
    Optional<Member> known = processor.onPacketReceived(nowNanos, self);
    if (known.isEmpty()) {
      return; // the table is full of present members
    }
    Member member = known.get();
    if (!(message instanceof MembershipMessage.Leave)) {
      piggybackedUpdates.forEach(update -> processor.apply(nowNanos, update, sender, true));
    }
    message.accept(new Dispatcher(nowNanos, member, incarnation));
  }

  /** Passes each kind of message to the class that handles it; the sender is a member. */
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
      // Its updates have already been processed.
    }

    @Override
    public void visit(MembershipMessage.StatusRequest request) {
      // Handled by the node that owns the socket.
    }

    @Override
    public void visit(MembershipMessage.StatusPage page) {
      // Addressed to operators' tools only.
    }

    @Override
    public void visit(MembershipMessage.Leave leave) {
      if (incarnation >= from.incarnation && from.state != MemberState.LEFT) {
        members.transition(nowNanos, from, MemberState.LEFT, incarnation);
      }
    }
  }

  // ---- Messages that this node initiates ----

  /**
   * Announces to some members that this node leaves; afterwards it neither sends pings nor replies.
   */
  public void leave(long nowNanos) {
    for (Member member : members.drawAlive(LEAVE_RECEIVERS)) {
      messenger.send(nowNanos, Purpose.PROBE, member, new MembershipMessage.Leave());
    }
    leaving = true;
  }

  /**
   * Sends the piggybacked reports and payload to some members now, instead of with the next pings.
   */
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
