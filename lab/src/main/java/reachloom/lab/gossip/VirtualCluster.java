package reachloom.lab.gossip;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import java.util.function.ToLongBiFunction;
import java.util.function.UnaryOperator;
import reachloom.gossip.GossipProtocol;
import reachloom.gossip.Packet;
import reachloom.gossip.wire.DatagramEnvelope;
import reachloom.gossip.wire.EncodingTransport;
import reachloom.gossip.wire.GossipCodec;
import reachloom.gossip.wire.RejectedDatagramException;
import reachloom.membership.Member;
import reachloom.membership.MemberState;
import reachloom.membership.MembershipSettings;
import reachloom.standin.model.SimulatedScheduler;

/**
 * Many instances of the real gossip modules and the real codec under a simulated clock and network:
 * loss, delay, slow instances, cuts, standstills, copies. The same seed gives the same run, byte
 * for byte. Signatures are not computed, only weighed.
 */
public final class VirtualCluster {
  /** Nanoseconds. */
  public static final long SECOND = 1_000_000_000;

  private static final long MILLISECOND = 1_000_000;
  private static final long START = 1_700_000_000 * SECOND;
  private static final int CERTIFICATE = 215; // bytes, as made for names of some ten characters
  private static final long DELAY = 2 * MILLISECOND;

  /** One instance. */
  public final class Node extends EncodingTransport {
    public final String name;
    public final long address;
    private final Set<String> knowsMe = new LinkedHashSet<>();
    private final Set<String> known = new LinkedHashSet<>();
    private final ArrayDeque<long[]> lately = new ArrayDeque<>();
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private long latelyBytes;
    public GossipProtocol gossip;
    public boolean up = true;
    public boolean slow;

    /** Added to the clock as this instance sees it. */
    public long skew;

    public long stalledUntil;

    /** What a liar does to what it sends. */
    public UnaryOperator<Packet> lie = p -> p;

    /** Whether it does anything to it: what it adds then is no longer within any cap. */
    public boolean liar;

    /** Hears of engines that others speak against. */
    public BiConsumer<String, Double> peerReports = (engine, level) -> {};

    public long maxBytesPerSecond;

    /** All that it sent so far, headers of UDP and IP counted, and in how many datagrams. */
    public long bytes;

    public long datagrams;

    /** What it took; what was lost on the way, or while it stood still, is not counted. */
    public long receivedBytes;

    public long receivedDatagrams;
    private long seq;
    private int life;

    Node(String name, long address) {
      this.name = name;
      this.address = address;
    }

    /** The time as this instance sees it. */
    public long clock() {
      return agenda.now() + skew;
    }

    @Override
    protected String sender() {
      return name;
    }

    @Override
    protected int certificateBytes(String receiver) {
      return knowsMe.contains(receiver) ? 0 : CERTIFICATE;
    }

    @Override
    public void send(String to, long at, Packet packet) {
      Packet told = lie.apply(packet);
      byte[] certificate = knowsMe.contains(to) ? null : new byte[CERTIFICATE];
      byte[] bytesOut =
          GossipCodec.encode(
              new DatagramEnvelope(
                  0,
                  seq++,
                  clock() / MILLISECOND,
                  Optional.ofNullable(certificate),
                  known.contains(to) ? 1 : 0),
              told);
      count(bytesOut.length + GossipCodec.SIGNATURE_BYTES + GossipCodec.UDP_HEADER_BYTES);
      deliver(this, at, bytesOut);
    }

    private void count(int size) {
      long now = agenda.now();
      lately.addLast(new long[] {now, size});
      latelyBytes += size;
      while (lately.peekFirst()[0] < now - SECOND) {
        latelyBytes -= lately.removeFirst()[1];
      }
      maxBytesPerSecond = Math.max(maxBytesPerSecond, latelyBytes);
      bytes += size;
      datagrams++;
    }
  }

  public final SimulatedScheduler agenda = new SimulatedScheduler(START);
  public final List<Node> nodes = new ArrayList<>();
  private final Map<Long, Node> byAddress = new LinkedHashMap<>();
  private final SplittableRandom random;
  private final long period;
  private final double loss;

  /** Whether a packet from one instance to another is cut off. */
  public BiPredicate<Node, Node> cut = (from, to) -> false;

  /** The share of packets that come twice, and of those that come late by up to a second. */
  public double copies;

  public double delayed;

  /**
   * How much longer than within a site a packet takes from one instance to another, in nanoseconds.
   */
  public ToLongBiFunction<Node, Node> extraDelay = (from, to) -> 0;

  /** The bytes that an instance may send in a second. */
  public ToIntFunction<Node> capOf;

  /** Is told of each instance that starts, before it does anything. */
  public Consumer<Node> onStart = n -> {};

  /** Live instances that somebody declared dead; restarts and real crashes are not among them. */
  public long falseDeaths;

  /** An empty cluster. */
  public VirtualCluster(long seed, long period, int cap, double loss) {
    random = new SplittableRandom(seed);
    this.period = period;
    capOf = n -> cap;
    this.loss = loss;
  }

  /** Where the instance of that number listens. */
  public static long address(int number) {
    return 0x7f000001L << 16 | 10_000 + number;
  }

  /** Adds instances that start now; the first ones of all are the seeds of the others. */
  public List<Node> add(int count, int seeds) {
    List<Node> added = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int number = nodes.size();
      Node n = new Node("g" + number, address(number));
      nodes.add(n);
      byAddress.put(n.address, n);
      added.add(n);
      start(n, seeds);
    }
    return added;
  }

  /** Starts an instance, anew where it has run before. */
  public void start(Node n, int seeds) {
    List<Long> of = nodes.stream().limit(seeds).filter(s -> s != n).map(s -> s.address).toList();
    n.up = true;
    n.knowsMe.clear();
    n.known.clear();
    n.waiting.clear();
    int life = ++n.life;
    n.gossip =
        new GossipProtocol(
            new MembershipSettings(n.name, n.address, of, period, capOf.applyAsInt(n)),
            n.clock(),
            random.nextLong(),
            n,
            (engine, level) -> n.peerReports.accept(engine, level));
    onStart.accept(n);
    tick(n, life);
  }

  private void tick(Node n, int life) {
    if (!n.up || n.life != life) {
      return;
    }
    if (agenda.now() < n.stalledUntil) {
      agenda.at(n.stalledUntil, () -> tick(n, life));
      return;
    }
    while (!n.waiting.isEmpty()) { // after a standstill the sockets are read first
      n.waiting.poll().run();
    }
    n.gossip.tick(n.clock());
    agenda.at(agenda.now() + n.gossip.membership().tickIntervalNanos(), () -> tick(n, life));
  }

  private void deliver(Node from, long at, byte[] bytes) {
    Node to = byAddress.get(at);
    if (to == null || !from.up || cut.test(from, to) || random.nextDouble() < loss) {
      return;
    }
    int times = random.nextDouble() < copies ? 2 : 1;
    for (int i = 0; i < times; i++) {
      long delay = DELAY + random.nextLong(DELAY) + extraDelay.applyAsLong(from, to);
      delay += from.slow ? random.nextLong(period / 2) : 0;
      delay += to.slow ? random.nextLong(period / 2) : 0;
      delay += random.nextDouble() < delayed ? random.nextLong(SECOND) : 0;
      agenda.at(agenda.now() + delay, () -> arrive(from, to, bytes));
    }
  }

  private void arrive(Node from, Node to, byte[] bytes) {
    if (!to.up) {
      return;
    }
    if (agenda.now() < to.stalledUntil) {
      if (to.waiting.size() < 64) { // what a socket's buffer holds
        to.waiting.add(() -> arrive(from, to, bytes));
      }
      return;
    }
    to.receivedBytes += bytes.length + GossipCodec.SIGNATURE_BYTES + GossipCodec.UDP_HEADER_BYTES;
    to.receivedDatagrams++;
    try {
      byte[] whole = java.util.Arrays.copyOf(bytes, bytes.length + GossipCodec.SIGNATURE_BYTES);
      var head = GossipCodec.decodeHeader(whole);
      Packet p = GossipCodec.decodeContent(whole, head);
      if (head.envelope().certificate().isEmpty() && !to.known.contains(p.sender())) {
        return; // its sender can't be proved
      }
      to.known.add(p.sender());
      if (head.envelope().knownCertificate() != 0) {
        to.knowsMe.add(p.sender());
      } else {
        to.knowsMe.remove(p.sender());
      }
      to.gossip.receive(to.clock(), p);
    } catch (RejectedDatagramException e) {
      throw new IllegalStateException("an honest datagram can't be read: " + e.reason(), e);
    }
  }

  /** Plays on for that long. */
  public void run(long time) {
    long until = agenda.now() + time;
    while (agenda.now() < until) {
      agenda.runUntil(Math.min(until, agenda.now() + period / 2));
      look();
    }
  }

  private final Set<Long> dead = new HashSet<>();

  /** Counts each time that somebody holds a live instance for dead, once until it is taken back. */
  private void look() {
    for (Node n : nodes) {
      if (!n.up) {
        continue;
      }
      for (Member m : n.gossip.membership().members()) {
        Node of = byAddress.get(m.address());
        long pair = n.address << Integer.SIZE ^ m.address();
        if (m.state() == MemberState.DEAD && of != null && of.up) {
          falseDeaths += dead.add(pair) ? 1 : 0;
        } else if (!dead.isEmpty()) {
          dead.remove(pair);
        }
      }
    }
  }

  /** How many live instances hold that one in the given state or worse. */
  public int countHolding(Node of, MemberState state) {
    int count = 0;
    for (Node n : nodes) {
      boolean holds =
          n.up
              && n.gossip
                  .membership()
                  .member(of.name)
                  .filter(m -> m.state().ordinal() >= state.ordinal())
                  .isPresent();
      count += holds ? 1 : 0;
    }
    return count;
  }

  /** Whether each live instance holds exactly the live ones for present. */
  public boolean agreed() {
    long live = nodes.stream().filter(n -> n.up).count();
    return nodes.stream().filter(n -> n.up).allMatch(n -> n.gossip.membership().size() == live);
  }

  /** The most bytes that any instance sent in any second, of the honest ones or of the liars. */
  public long maxBytesPerSecond(boolean liars) {
    return nodes.stream()
        .filter(n -> n.liar == liars)
        .mapToLong(n -> n.maxBytesPerSecond)
        .max()
        .orElse(0);
  }
}
