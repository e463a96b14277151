package reachloom.revision;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.UnaryOperator;

/**
 * Members and issuers under a simulated clock and network. Which members are present is given by
 * the test; packets are counted against a budget of bytes per second; the same seed gives the same
 * run.
 */
final class SimulatedNetwork {
  static final long MILLISECOND = 1_000_000; // nanoseconds
  static final long SECOND = 1_000 * MILLISECOND;

  /** What gossip leaves of 17,000 bytes a second. */
  private static final int MEMBER_BYTES_PER_SECOND = 12_900;

  /** What an issuer's machine may send. */
  private static final int ISSUER_BYTES_PER_SECOND = 400_000;

  private static final int GOSSIP_BYTES_PER_SECOND = 4_096;

  /** Of a packet without messages: names, signature, UDP header. */
  private static final int PACKET_HEADER_BYTES = 180;

  private static final int MAX_PACKET_BYTES = 700;
  private static final int ISSUERS = 5;
  private static final int ZONES = 10;
  private static final int REGIONS = 3;
  private static final long TICK_NANOS = 100 * MILLISECOND;
  private static final long GOSSIP_PERIOD_NANOS = SECOND;

  /**
   * Any signature that names the issuer and the chain is valid; who forges here makes up others.
   */
  static final class FakeSignatures implements SignatureScheme {
    private final String name;

    FakeSignatures(String name) {
      this.name = name;
    }

    @Override
    public byte[] sign(byte[] chain) {
      return Revision.hash((name + Arrays.toString(chain)).getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public boolean verify(String issuer, byte[] chain, byte[] signature) {
      return Arrays.equals(signature, new FakeSignatures(issuer).sign(chain));
    }
  }

  /** One member or issuer. */
  final class Node implements RevisionMessageSender, RevisionDissemination.Host {
    final Peer peer;
    final boolean issuer;

    /** When each revision came in force first, nanoseconds, by number. */
    final Map<Long, Long> inForceAtNanos = new TreeMap<>();

    final List<String> alarms = new ArrayList<>();
    RevisionDissemination dissemination;
    boolean up = true;

    /** Whether its host rejects every revision. */
    boolean rejecting;

    /** It handles nothing before that time, nanoseconds. */
    long pausedUntilNanos;

    int peakBytesPerSecond;

    /** How many revisions its host was handed. */
    int applied;

    /** What becomes of the messages that it sends. */
    UnaryOperator<List<RevisionMessage>> tamper = messages -> messages;

    private final TreeMap<Long, Integer> sentBytes = new TreeMap<>(); // by time
    private int sentInLastSecond;
    private int incarnation;

    Node(String name, int place, boolean issuer) {
      peer = new Peer(name, nodes.size(), place);
      this.issuer = issuer;
    }

    /** Starts with nothing, also if it is up already. */
    void start() {
      up = true;
      incarnation++;
      int started = incarnation;
      DisseminationMember self =
          new DisseminationMember(
              peer.name(),
              peer.place(),
              issuers,
              issuers.size() / 2 + 1,
              new FakeSignatures(peer.name()));
      dissemination = new RevisionDissemination(self, random.split(), this, this, now);
      schedule(now + random.nextLong(TICK_NANOS), () -> tick(started));
      schedule(now + random.nextLong(GOSSIP_PERIOD_NANOS), () -> gossip(started));
      updatePresence();
    }

    private void tick(int started) {
      if (started == incarnation && up) {
        if (now >= pausedUntilNanos) {
          dissemination.tick(now);
        }
        schedule(Math.max(pausedUntilNanos, now + TICK_NANOS), () -> tick(started));
      }
    }

    private void gossip(int started) {
      if (started == incarnation && up) {
        Node to = nodes.get(random.nextInt(nodes.size()));
        if (to != this && now >= pausedUntilNanos) {
          transmit(to, List.of(dissemination.have()));
          schedule(
              now + 100 * MILLISECOND,
              () -> {
                if (to.up) {
                  to.transmit(this, List.of(to.dissemination.have()));
                }
              });
        }
        schedule(now + GOSSIP_PERIOD_NANOS, () -> gossip(started));
      }
    }

    private void transmit(Node to, List<RevisionMessage> messages) {
      List<RevisionMessage> sent = tamper.apply(messages);
      trace = trace * 31 + now + to.peer.address();
      sent.forEach(
          m -> trace = trace * 31 + m.getClass().getSimpleName().hashCode() + encodedBytes(m));
      if (!up || random.nextDouble() < loss || cut.test(this, to)) {
        return;
      }
      long latency = region(this) != region(to) ? 30 : 1;
      long arrival = now + latency * MILLISECOND + random.nextLong(2 * MILLISECOND);
      schedule(arrival, () -> to.receive(peer, sent));
    }

    private void receive(Peer from, List<RevisionMessage> messages) {
      if (up && now < pausedUntilNanos) {
        schedule(pausedUntilNanos, () -> receive(from, messages));
      } else if (up) {
        dissemination.receive(now, from, messages);
      }
    }

    @Override
    public boolean send(long at, String to, long address, List<RevisionMessage> messages) {
      while (!sentBytes.isEmpty() && sentBytes.firstKey() <= now - SECOND) {
        sentInLastSecond -= sentBytes.pollFirstEntry().getValue();
      }
      int bytes = PACKET_HEADER_BYTES + messages.stream().mapToInt(this::encodedBytes).sum();
      int limit = issuer ? ISSUER_BYTES_PER_SECOND : MEMBER_BYTES_PER_SECOND;
      if (sentInLastSecond + bytes > limit) {
        return false;
      }
      sentBytes.merge(now, bytes, Integer::sum);
      sentInLastSecond += bytes;
      peakBytesPerSecond = Math.max(peakBytesPerSecond, sentInLastSecond + GOSSIP_BYTES_PER_SECOND);
      List<RevisionMessage> packet = new ArrayList<>(messages);
      packet.add(0, dissemination.have());
      transmit(nodes.get((int) address), packet);
      return true;
    }

    @Override
    public int encodedBytes(RevisionMessage message) {
      if (message instanceof RevisionMessage.Notice notice) {
        return 100 + notice.votes().size() * 76;
      }
      return 30
          + (message instanceof RevisionMessage.Chunk chunk ? chunk.bytes().length : 0)
          + (message instanceof RevisionMessage.Census sum ? 10 * sum.lacking().size() : 0);
    }

    @Override
    public int maxPacketBytes() {
      return MAX_PACKET_BYTES;
    }

    @Override
    public void apply(long at, Revision revision, byte[] document) {
      int started = incarnation;
      if (!revision.describes(document)) {
        throw new AssertionError("not its document");
      }
      applied++;
      schedule(
          now + 50 * MILLISECOND,
          () -> {
            if (started == incarnation && up) {
              finishApplying(revision.number());
            }
          });
    }

    private void finishApplying(long number) {
      if (rejecting) {
        dissemination.onRejected(now, number, "key x: not known");
      } else {
        inForceAtNanos.putIfAbsent(number, now);
        dissemination.onInForce(now, number);
      }
    }

    @Override
    public void alarm(long at, String message) {
      alarms.add(message);
    }

    /** The revision that it has in force; 0 for none. */
    long inForce() {
      return dissemination.have().inForce();
    }
  }

  private record Event(long atNanos, long sequence, Runnable action) {}

  final List<Node> nodes = new ArrayList<>();
  final List<Peer> issuers = new ArrayList<>();

  /** Whether nothing gets from the first to the second. */
  BiPredicate<Node, Node> cut = (from, to) -> false;

  /** Whether the first holds the second for present. */
  BiPredicate<Node, Node> sees = (one, other) -> true;

  double loss;
  long now = 1_700_000_000L * SECOND;

  /** A hash over all packets: when, to whom, with which messages. */
  long trace;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
  private final SplittableRandom random;
  private long sequence;
  private boolean presenceUpdateScheduled;

  /** Five issuers over three regions, and so many members over ten zones of these. */
  SimulatedNetwork(long seed, int members, double loss) {
    random = new SplittableRandom(seed);
    this.loss = loss;
    for (int i = 0; i < ISSUERS; i++) {
      Node issuer = new Node("i" + i, place(i), true);
      nodes.add(issuer);
      issuers.add(issuer.peer);
    }
    for (int i = 0; i < members; i++) {
      nodes.add(new Node("g" + i, place(i), false));
    }
    nodes.forEach(Node::start);
  }

  private static int place(int index) {
    int zone = index % ZONES;
    return (zone % REGIONS + 1) << 8 | zone / REGIONS;
  }

  int region(Node node) {
    return node.peer.place() >> 8;
  }

  private void schedule(long atNanos, Runnable action) {
    events.add(new Event(Math.max(now, atNanos), sequence++, action));
  }

  /** Lets all know which members are present; once for all changes of one moment. */
  void updatePresence() {
    if (!presenceUpdateScheduled) {
      presenceUpdateScheduled = true;
      schedule(
          now,
          () -> {
            presenceUpdateScheduled = false;
            nodes.stream().filter(n -> n.up).forEach(n -> n.dissemination.setPeers(presentPeers(n)));
          });
    }
  }

  private List<Peer> presentPeers(Node of) {
    return nodes.stream()
        .filter(other -> other != of && other.up && sees.test(of, other))
        .map(other -> other.peer)
        .toList();
  }

  /** Lets time pass. */
  void run(double seconds) {
    long until = now + (long) (seconds * SECOND);
    while (!events.isEmpty() && events.peek().atNanos <= until) {
      Event event = events.poll();
      now = event.atNanos;
      event.action.run();
    }
    now = until;
  }

  /** All but the issuers. */
  List<Node> members() {
    return nodes.stream().filter(n -> !n.issuer).toList();
  }

  /** A revision after another one (null for none), with the votes of a majority. */
  RevisionMessage.Notice certify(Revision before, byte[] document) {
    Revision revision = Revision.after(before, document, now / MILLISECOND, "i0");
    return new RevisionMessage.Notice(
        revision,
        issuers.stream()
            .limit(ISSUERS / 2 + 1)
            .map(i -> new Vote(i.name(), new FakeSignatures(i.name()).sign(revision.chain())))
            .toList());
  }

  /** The issuers have decided a revision; the issuer with that index hears of it. */
  RevisionMessage.Notice issue(int by, byte[] document) {
    Node proposer = nodes.get(by);
    Revision before =
        proposer.dissemination.newest().map(RevisionMessage.Notice::revision).orElse(null);
    RevisionMessage.Notice notice = certify(before, document);
    for (int i = 0; i < issuers.size(); i++) {
      Node acceptor = nodes.get(i);
      if (i == by || acceptor.up && !cut.test(proposer, acceptor)) { // who accepts holds it
        acceptor.dissemination.addProposal(notice.revision(), document);
      }
    }
    proposer.dissemination.addChosen(now, notice.revision(), notice.votes(), document);
    return notice;
  }

  /** A document of that size that differs from others a little. */
  static byte[] document(int size, int variant) {
    byte[] document = new byte[size];
    new SplittableRandom(7).nextBytes(document);
    document[size / 2] = (byte) variant;
    document[size / 3] = (byte) (variant >> 8);
    return document;
  }

  /**
   * For each member the seconds from then until that revision, or a newer one, was in force;
   * sorted; -1 for never.
   */
  double[] secondsUntilInForce(long sinceNanos, long number) {
    return members().stream()
        .mapToLong(n -> firstInForceNanos(n, number, sinceNanos - SECOND))
        .mapToDouble(at -> (double) (at - sinceNanos) / SECOND)
        .sorted()
        .toArray();
  }

  private static long firstInForceNanos(Node node, long number, long otherwise) {
    return node.inForceAtNanos.entrySet().stream()
        .filter(e -> e.getKey() >= number)
        .mapToLong(Map.Entry::getValue)
        .min()
        .orElse(otherwise);
  }

  /** How many members have that revision in force. */
  int countInForce(long number) {
    return (int) members().stream().filter(n -> n.inForce() == number).count();
  }

  /** The most bytes that a member sent in a second. */
  int peakMemberBytesPerSecond() {
    return members().stream().mapToInt(n -> n.peakBytesPerSecond).max().orElse(0);
  }

  /** How many members that issuer knows to have a revision in force. */
  int knownInForce(Node issuer, long number) {
    return issuer.dissemination.censuses().stream()
        .filter(c -> c.number() == number)
        .mapToInt(RevisionMessage.Census::inForce)
        .sum();
  }
}
