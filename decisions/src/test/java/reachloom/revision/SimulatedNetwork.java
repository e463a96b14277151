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
 * Members and issuers on a simulated network with a simulated clock. The test controls which
 * members are present; packets count against a budget of bytes per second; the same seed results in
 * the same run.
 */
final class SimulatedNetwork {
  static final long MILLISECOND = 1_000_000; // nanoseconds
  static final long SECOND = 1_000 * MILLISECOND;

  /** The part of 17,000 bytes per second that gossip leaves. */
  private static final int MEMBER_BYTES_PER_SECOND = 12_900;

  /** Byte budget of an issuer. */
  private static final int ISSUER_BYTES_PER_SECOND = 400_000;

  private static final int GOSSIP_BYTES_PER_SECOND = 4_096;

  /** Size of a packet without messages: names, signature, UDP header. */
  private static final int PACKET_HEADER_BYTES = 180;

  private static final int MAX_PACKET_BYTES = 700;
  private static final int ISSUERS = 5;
  private static final int ZONES = 10;
  private static final int REGIONS = 3;
  private static final long TICK_NANOS = 100 * MILLISECOND;
  private static final long GOSSIP_PERIOD_NANOS = SECOND;

  /** Fake signatures: a hash over the name of the issuer and the chain hash. */
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

  /** A member or an issuer. */
  final class Node implements RevisionMessageSender, RevisionDissemination.Host {
    final Peer peer;
    final boolean issuer;

    /** When each revision was first put in force, in nanoseconds, by number. */
    final Map<Long, Long> inForceAtNanos = new TreeMap<>();

    final List<String> alarms = new ArrayList<>();
    RevisionDissemination dissemination;
    boolean up = true;

    /** Whether the host of this node rejects every revision. */
    boolean rejecting;

    /** The node handles no event before that time, in nanoseconds. */
    long pausedUntilNanos;

    int peakBytesPerSecond;

    /** Number of revisions passed to the host of this node. */
    int applied;

    /** Modifies the messages that this node sends. */
    UnaryOperator<List<RevisionMessage>> tamper = messages -> messages;

    private final TreeMap<Long, Integer> sentBytes = new TreeMap<>(); // by time
    private int sentInLastSecond;
    private int incarnation;

    Node(String name, int place, boolean issuer) {
      peer = new Peer(name, nodes.size(), place);
      this.issuer = issuer;
    }

    /** Starts without state; restarts the node if it is running. */
    void start() {
      up = true;
      incarnation++;
      int startedIncarnation = incarnation;
      DisseminationMember self =
          new DisseminationMember(
              peer.name(),
              peer.place(),
              issuers,
              issuers.size() / 2 + 1,
              new FakeSignatures(peer.name()));
      dissemination = new RevisionDissemination(self, random.split(), this, this, now);
      schedule(now + random.nextLong(TICK_NANOS), () -> tick(startedIncarnation));
      schedule(now + random.nextLong(GOSSIP_PERIOD_NANOS), () -> gossip(startedIncarnation));
      updatePresence();
    }

    private void tick(int startedIncarnation) {
      if (startedIncarnation == incarnation && up) {
        if (now >= pausedUntilNanos) {
          dissemination.tick(now);
        }
        schedule(Math.max(pausedUntilNanos, now + TICK_NANOS), () -> tick(startedIncarnation));
      }
    }

    private void gossip(int startedIncarnation) {
      if (startedIncarnation == incarnation && up) {
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
        schedule(now + GOSSIP_PERIOD_NANOS, () -> gossip(startedIncarnation));
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
          + (message instanceof RevisionMessage.Census census ? 10 * census.lacking().size() : 0);
    }

    @Override
    public int maxPacketBytes() {
      return MAX_PACKET_BYTES;
    }

    @Override
    public void apply(long at, Revision revision, byte[] document) {
      int startedIncarnation = incarnation;
      if (!revision.describes(document)) {
        throw new AssertionError("document does not match the revision");
      }
      applied++;
      schedule(
          now + 50 * MILLISECOND,
          () -> {
            if (startedIncarnation == incarnation && up) {
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

    /** Returns the revision in force at this node; 0 for none. */
    long inForce() {
      return dissemination.have().inForce();
    }
  }

  private record Event(long atNanos, long sequence, Runnable action) {}

  final List<Node> nodes = new ArrayList<>();
  final List<Peer> issuers = new ArrayList<>();

  /** Whether packets from the first node to the second are lost. */
  BiPredicate<Node, Node> cut = (from, to) -> false;

  /** Whether the first node considers the second present. */
  BiPredicate<Node, Node> sees = (one, other) -> true;

  double loss;
  long now = 1_700_000_000L * SECOND;

  /** A hash over all packets: time, receiver, and the type and size of each message. */
  long trace;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
  private final SplittableRandom random;
  private long sequence;
  private boolean presenceUpdateScheduled;

  /** Creates five issuers in three regions, and {@code members} members in ten zones of these. */
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

  /** Notifies all nodes of the present members, once for all changes at one time. */
  void updatePresence() {
    if (!presenceUpdateScheduled) {
      presenceUpdateScheduled = true;
      schedule(
          now,
          () -> {
            presenceUpdateScheduled = false;
            nodes.stream()
                .filter(n -> n.up)
                .forEach(n -> n.dissemination.setPeers(presentPeers(n)));
          });
    }
  }

  private List<Peer> presentPeers(Node of) {
    return nodes.stream()
        .filter(other -> other != of && other.up && sees.test(of, other))
        .map(other -> other.peer)
        .toList();
  }

  /** Advances the clock and runs the events that are due. */
  void run(double seconds) {
    long until = now + (long) (seconds * SECOND);
    while (!events.isEmpty() && events.peek().atNanos <= until) {
      Event event = events.poll();
      now = event.atNanos;
      event.action.run();
    }
    now = until;
  }

  /** Returns all nodes except the issuers. */
  List<Node> members() {
    return nodes.stream().filter(n -> !n.issuer).toList();
  }

  /** Creates a revision after another one (null for none), with the votes of a majority. */
  RevisionMessage.Notice certify(Revision before, byte[] document) {
    Revision revision = Revision.after(before, document, now / MILLISECOND, "i0");
    return new RevisionMessage.Notice(
        revision,
        issuers.stream()
            .limit(ISSUERS / 2 + 1)
            .map(i -> new Vote(i.name(), new FakeSignatures(i.name()).sign(revision.chain())))
            .toList());
  }

  /** Issues a revision: the issuer with that index receives it as chosen. */
  RevisionMessage.Notice issue(int by, byte[] document) {
    Node proposer = nodes.get(by);
    Revision before =
        proposer.dissemination.newest().map(RevisionMessage.Notice::revision).orElse(null);
    RevisionMessage.Notice notice = certify(before, document);
    for (int i = 0; i < issuers.size(); i++) {
      Node acceptor = nodes.get(i);
      // An acceptor holds the document.
      if (i == by || acceptor.up && !cut.test(proposer, acceptor)) {
        acceptor.dissemination.addProposal(notice.revision(), document);
      }
    }
    proposer.dissemination.addChosen(now, notice.revision(), notice.votes(), document);
    return notice;
  }

  /** Creates a document of that size; variants differ in a few bytes. */
  static byte[] document(int size, int variant) {
    byte[] document = new byte[size];
    new SplittableRandom(7).nextBytes(document);
    document[size / 2] = (byte) variant;
    document[size / 3] = (byte) (variant >> 8);
    return document;
  }

  /**
   * Returns for each member the seconds from {@code sinceNanos} until that revision, or a newer
   * one, was in force; sorted; -1 for never.
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

  /** Returns the number of members that have that revision in force. */
  int countInForce(long number) {
    return (int) members().stream().filter(n -> n.inForce() == number).count();
  }

  /**
   * Returns the maximum bytes per second that a member has sent, with {@link
   * #GOSSIP_BYTES_PER_SECOND} assumed for gossip.
   */
  int peakMemberBytesPerSecond() {
    return members().stream().mapToInt(n -> n.peakBytesPerSecond).max().orElse(0);
  }

  /** Returns the number of members that an issuer knows to have a revision in force. */
  int knownInForce(Node issuer, long number) {
    return issuer.dissemination.censuses().stream()
        .filter(c -> c.number() == number)
        .mapToInt(RevisionMessage.Census::inForce)
        .sum();
  }
}
