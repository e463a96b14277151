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
 * Runs many instances of the real gossip modules and the real codec under a simulated clock and
 * network with loss, delay, slow instances, network cuts, stalled instances and duplicates. The
 * same seed gives the same run, byte for byte. Signatures are not computed; only their size is
 * counted.
 */
public final class VirtualCluster {
  /** One second in nanoseconds. */
  public static final long SECOND = 1_000_000_000;

  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final long START = 1_700_000_000 * SECOND;
  private static final int CERTIFICATE_BYTES = 215; // for names of about ten characters
  private static final long MIN_DELAY = 2 * MILLISECOND;

  /** An instance of the cluster. */
  public final class Node extends EncodingTransport {
    public final String name;
    public final long address;
    private final Set<String> receiversKnowingCertificate = new LinkedHashSet<>();
    private final Set<String> knownSenders = new LinkedHashSet<>();
    private final ArrayDeque<long[]> lastSecond = new ArrayDeque<>();
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private long lastSecondBytes;
    public GossipProtocol gossip;
    public boolean up = true;

    /** Whether each datagram to or from it is delayed further, by up to half a period. */
    public boolean slow;

    /** Nanoseconds by which the clock of this instance differs from the simulated time. */
    public long skew;

    public long stalledUntil;

    /** Changes each packet before it is sent; lets a liar send false reports. */
    public UnaryOperator<Packet> lie = p -> p;

    /** Whether {@code lie} changes packets; the bytes that it adds are not limited by the cap. */
    public boolean liar;

    /** Receives the level of peer reports against an engine. */
    public BiConsumer<String, Double> peerReports = (engine, level) -> {};

    /** The most bytes that this instance sent in any second. */
    public long maxBytesPerSecond;

    /** Bytes sent so far, including UDP and IP headers. */
    public long bytes;

    /** Datagrams sent so far. */
    public long datagrams;

    /** Bytes received; datagrams lost in the network or while it was stalled are not counted. */
    public long receivedBytes;

    public long receivedDatagrams;
    private long seq;
    private int runNumber;

    Node(String name, long address) {
      this.name = name;
      this.address = address;
    }

    /** Returns the time of this instance's clock. */
    public long clock() {
      return agenda.now() + skew;
    }

    @Override
    protected String sender() {
      return name;
    }

    @Override
    protected int certificateBytes(String receiver) {
      return receiversKnowingCertificate.contains(receiver) ? 0 : CERTIFICATE_BYTES;
    }

    @Override
    public void send(String to, long at, Packet packet) {
      Packet sentPacket = lie.apply(packet);
      byte[] certificate =
          receiversKnowingCertificate.contains(to) ? null : new byte[CERTIFICATE_BYTES];
      byte[] encoded =
          GossipCodec.encode(
              new DatagramEnvelope(
                  0,
                  seq++,
                  clock() / MILLISECOND,
                  Optional.ofNullable(certificate),
                  knownSenders.contains(to) ? 1 : 0),
              sentPacket);
      count(encoded.length + GossipCodec.SIGNATURE_BYTES + GossipCodec.UDP_HEADER_BYTES);
      deliver(this, at, encoded);
    }

    private void count(int size) {
      long now = agenda.now();
      lastSecond.addLast(new long[] {now, size});
      lastSecondBytes += size;
      while (lastSecond.peekFirst()[0] < now - SECOND) {
        lastSecondBytes -= lastSecond.removeFirst()[1];
      }
      maxBytesPerSecond = Math.max(maxBytesPerSecond, lastSecondBytes);
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

  /** Returns whether packets from one instance to another are dropped by a network cut. */
  public BiPredicate<Node, Node> cut = (from, to) -> false;

  /** The share of packets that are delivered twice. */
  public double copies;

  /** The share of packets that are delayed by up to a second. */
  public double delayed;

  /**
   * Returns the nanoseconds that a packet takes from one instance to another beyond the delay
   * within a site.
   */
  public ToLongBiFunction<Node, Node> extraDelay = (from, to) -> 0;

  /** Returns the bytes per second that an instance may send. */
  public ToIntFunction<Node> capOf;

  /** Called for each instance that starts, before its first tick. */
  public Consumer<Node> onStart = n -> {};

  /**
   * How often a running instance was found to hold another running one dead. An instance that is
   * down is not counted; a restarted one is, for each instance that still holds it dead.
   */
  public long falseDeaths;

  /** Creates an empty cluster. */
  public VirtualCluster(long seed, long period, int cap, double loss) {
    random = new SplittableRandom(seed);
    this.period = period;
    capOf = n -> cap;
    this.loss = loss;
  }

  /** Returns the address of the instance with the given number. */
  public static long address(int number) {
    return 0x7f000001L << 16 | 10_000 + number;
  }

  /** Adds and starts instances; the first {@code seeds} instances are the seeds of the others. */
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

  /** Starts an instance, or restarts it if it has run before. */
  public void start(Node n, int seeds) {
    List<Long> seedAddresses =
        nodes.stream().limit(seeds).filter(s -> s != n).map(s -> s.address).toList();
    n.up = true;
    n.receiversKnowingCertificate.clear();
    n.knownSenders.clear();
    n.waiting.clear();
    int runNumber = ++n.runNumber;
    n.gossip =
        new GossipProtocol(
            new MembershipSettings(n.name, n.address, seedAddresses, period, capOf.applyAsInt(n)),
            n.clock(),
            random.nextLong(),
            n,
            (engine, level) -> n.peerReports.accept(engine, level));
    onStart.accept(n);
    tick(n, runNumber);
  }

  private void tick(Node n, int runNumber) {
    if (!n.up || n.runNumber != runNumber) {
      return;
    }
    if (agenda.now() < n.stalledUntil) {
      agenda.at(n.stalledUntil, () -> tick(n, runNumber));
      return;
    }
    while (!n.waiting.isEmpty()) { // a stalled instance reads its socket first
      n.waiting.poll().run();
    }
    n.gossip.tick(n.clock());
    agenda.at(agenda.now() + n.gossip.membership().tickIntervalNanos(), () -> tick(n, runNumber));
  }

  private void deliver(Node from, long at, byte[] bytes) {
    Node to = byAddress.get(at);
    if (to == null || !from.up || cut.test(from, to) || random.nextDouble() < loss) {
      return;
    }
    int times = random.nextDouble() < copies ? 2 : 1;
    for (int i = 0; i < times; i++) {
      long delay = MIN_DELAY + random.nextLong(MIN_DELAY) + extraDelay.applyAsLong(from, to);
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
      if (to.waiting.size() < 64) { // datagrams in a socket's receive buffer
        to.waiting.add(() -> arrive(from, to, bytes));
      }
      return;
    }
    to.receivedBytes += bytes.length + GossipCodec.SIGNATURE_BYTES + GossipCodec.UDP_HEADER_BYTES;
    to.receivedDatagrams++;
    try {
      byte[] datagram = java.util.Arrays.copyOf(bytes, bytes.length + GossipCodec.SIGNATURE_BYTES);
      var header = GossipCodec.decodeHeader(datagram);
      Packet p = GossipCodec.decodeContent(datagram, header);
      if (header.envelope().certificate().isEmpty() && !to.knownSenders.contains(p.sender())) {
        return; // the sender's certificate is unknown, so the signature can't be verified
      }
      to.knownSenders.add(p.sender());
      if (header.envelope().knownCertificate() != 0) {
        to.receiversKnowingCertificate.add(p.sender());
      } else {
        to.receiversKnowingCertificate.remove(p.sender());
      }
      to.gossip.receive(to.clock(), p);
    } catch (RejectedDatagramException e) {
      throw new IllegalStateException(
          "the codec rejected a well-formed datagram: " + e.reason(), e);
    }
  }

  /** Runs the simulation for the given nanoseconds. */
  public void run(long duration) {
    long until = agenda.now() + duration;
    while (agenda.now() < until) {
      agenda.runUntil(Math.min(until, agenda.now() + period / 2));
      countFalseDeaths();
    }
  }

  private final Set<Long> falselyHeldDead = new HashSet<>();

  /** Counts each pair of live instances of which one holds the other dead, once until refuted. */
  private void countFalseDeaths() {
    for (Node n : nodes) {
      if (!n.up) {
        continue;
      }
      for (Member m : n.gossip.membership().members()) {
        Node of = byAddress.get(m.address());
        long pair = n.address << Integer.SIZE ^ m.address();
        if (m.state() == MemberState.DEAD && of != null && of.up) {
          falseDeaths += falselyHeldDead.add(pair) ? 1 : 0;
        } else if (!falselyHeldDead.isEmpty()) {
          falselyHeldDead.remove(pair);
        }
      }
    }
  }

  /** Returns how many live instances hold an instance in the given state or a worse one. */
  public int countHolding(Node subject, MemberState state) {
    int count = 0;
    for (Node n : nodes) {
      boolean holds =
          n.up
              && n.gossip
                  .membership()
                  .member(subject.name)
                  .filter(m -> m.state().ordinal() >= state.ordinal())
                  .isPresent();
      count += holds ? 1 : 0;
    }
    return count;
  }

  /** Returns whether each live instance has as many members as there are live instances. */
  public boolean agreed() {
    long live = nodes.stream().filter(n -> n.up).count();
    return nodes.stream().filter(n -> n.up).allMatch(n -> n.gossip.membership().size() == live);
  }

  /** Returns the most bytes that an honest instance, or a liar, sent in any second. */
  public long maxBytesPerSecond(boolean liars) {
    return nodes.stream()
        .filter(n -> n.liar == liars)
        .mapToLong(n -> n.maxBytesPerSecond)
        .max()
        .orElse(0);
  }
}
