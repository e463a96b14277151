package reachloom.revision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Issuers on a simulated network with a simulated clock. The network loses, delays and duplicates
 * messages, and may be partitioned. Each issuer has a consensus node, a store that tests can make
 * fail or lose, and a repository that exchanges documents over the same network.
 */
final class SimulatedIssuers {
  static final long MILLISECOND = 1_000_000; // nanoseconds
  static final long SECOND = 1_000 * MILLISECOND;
  static final long START = 1_700_000_000L * SECOND;
  private static final long TICK_NANOS = 100 * MILLISECOND;
  private static final long HAVE_INTERVAL_NANOS = SECOND;
  private static final long FETCH_TIMEOUT_NANOS = SECOND;
  private static final int FETCH_ATTEMPTS = 4;

  private record Event(long atNanos, long sequence, Runnable action) {}

  /** Fake signatures: a hash over name and chain hash. */
  private record FakeSignatures(String name) implements SignatureScheme {
    @Override
    public byte[] sign(byte[] chain) {
      byte[] n = name.getBytes(StandardCharsets.UTF_8);
      byte[] all = Arrays.copyOf(n, n.length + chain.length);
      System.arraycopy(chain, 0, all, n.length, chain.length);
      return Revision.hash(all);
    }

    @Override
    public boolean verify(String issuer, byte[] chain, byte[] signature) {
      return Arrays.equals(new FakeSignatures(issuer).sign(chain), signature);
    }
  }

  /** The signatures of an issuer. */
  static SignatureScheme signatures(String name) {
    return new FakeSignatures(name);
  }

  /** The durable store of an issuer; survives a crash of its process. */
  static final class Disk implements ConsensusStore {
    /** The state that was saved last; null if it is lost. */
    ConsensusState state = ConsensusState.initial();

    /** Whether writes fail. */
    boolean failing;

    boolean mayVote() {
      return state != null && state.mayVote();
    }

    @Override
    public Optional<ConsensusState> load() {
      return Optional.ofNullable(state);
    }

    @Override
    public boolean save(ConsensusState next) {
      state = failing ? state : next;
      return !failing;
    }
  }

  /** One issuer; its consensus node is null while it is down. */
  final class Node
      implements RevisionRepository, RevisionMessageSender, RevisionDissemination.Host {
    final String name;
    final Disk disk = new Disk();
    final Map<Long, byte[]> documents = new TreeMap<>();
    ConsensusNode consensus;

    /** The repository if the test runs with dissemination; otherwise null, and this node is it. */
    RevisionDissemination dissemination;

    RevisionMessage.Notice newest;
    boolean paused;
    int incarnation;
    private long nextHaveAtNanos;
    private long reportedNumber;

    /** Outgoing messages of this node that are lost. */
    Predicate<RevisionMessage> suppressed = message -> false;

    Node(String name) {
      this.name = name;
    }

    Peer peer() {
      return new Peer(name, 1 + name.hashCode(), 0);
    }

    void start() {
      incarnation++;
      documents.clear();
      newest = null;
      reportedNumber = 0;
      if (withDissemination) {
        dissemination =
            new RevisionDissemination(
                new DisseminationMember(
                    name, 1, peers(), ConsensusNode.quorum(nodes.size()), new FakeSignatures(name)),
                random.split(),
                this,
                this,
                now);
        dissemination.setPeers(peers().stream().filter(p -> !p.name().equals(name)).toList());
      }
      RevisionRepository repository = withDissemination ? dissemination : this;
      consensus =
          new ConsensusNode(
              name,
              peers(),
              new ConsensusEnvironment(new FakeSignatures(name), disk, repository, this),
              random.split(),
              now);
    }

    void crash() {
      consensus = null;
      incarnation++;
    }

    List<ProposalResult> propose(String document) {
      return propose(document.getBytes(StandardCharsets.UTF_8));
    }

    List<ProposalResult> propose(byte[] document) {
      List<ProposalResult> results = new ArrayList<>();
      consensus.propose(now, document, results::add);
      return results;
    }

    long number() {
      return newest == null ? 0 : newest.revision().number();
    }

    /** The newest number whose document is held, which a member reports to know. */
    private long heldNumber() {
      if (newest != null && document(newest.revision()).isPresent()) {
        reportedNumber = Math.max(reportedNumber, number());
      }
      return reportedNumber;
    }

    /** The text of the newest revision's document; null where it is not held. */
    String document() {
      return newest()
          .flatMap(n -> document(n.revision()))
          .map(held -> new String(held, StandardCharsets.UTF_8))
          .orElse(null);
    }

    private void tick() {
      if (withDissemination) {
        dissemination.tick(now);
      }
      consensus.tick(now);
      pullNewest();
      if (now >= nextHaveAtNanos) {
        nextHaveAtNanos = now + HAVE_INTERVAL_NANOS;
        fetchNewest();
        nodes.values().stream()
            .filter(n -> n != this)
            .forEach(
                n ->
                    send(
                        now,
                        n.name,
                        0,
                        List.of(new RevisionMessage.Have(heldNumber(), 0, heldNumber()))));
      }
    }

    private void receive(Peer sender, List<RevisionMessage> messages) {
      if (withDissemination) {
        dissemination.receive(now, sender, messages);
        consensus.receive(now, sender, messages);
        pullNewest();
        return;
      }
      for (RevisionMessage message : messages) {
        if (message instanceof RevisionMessage.Have have && have.known() > number()) {
          send(now, sender.name(), 0, List.of(new RevisionMessage.Want(0, 0, 0, 0)));
        } else if (message instanceof RevisionMessage.Want && newest != null) {
          send(now, sender.name(), 0, List.of(newest));
        } else if (message instanceof RevisionMessage.Notice notice) {
          onNotice(notice);
        }
      }
      consensus.receive(now, sender, messages);
    }

    private void pullNewest() {
      if (withDissemination) {
        dissemination.newest().ifPresent(this::onNotice);
      }
    }

    private void onNotice(RevisionMessage.Notice notice) {
      long validVotes =
          notice.votes().stream()
              .filter(
                  v ->
                      new FakeSignatures("")
                          .verify(v.issuer(), notice.revision().chain(), v.signature()))
              .map(Vote::issuer)
              .distinct()
              .filter(nodes::containsKey)
              .count();
      assertTrue(
          validVotes >= ConsensusNode.quorum(nodes.size()), "a notice without a valid proof");
      recordProved(notice.revision());
      if (notice.revision().number() > number()) {
        newest = notice;
        fetchNewest();
      }
    }

    private void fetchNewest() {
      if (!withDissemination && newest != null && document(newest.revision()).isEmpty()) {
        nodes.values().stream()
            .filter(o -> o != this)
            .forEach(o -> fetchProposal(now, newest.revision(), o.peer(), got -> {}));
      }
    }

    // ---- RevisionRepository ----

    @Override
    public Optional<RevisionMessage.Notice> newest() {
      return Optional.ofNullable(newest);
    }

    @Override
    public void addChosen(long nowNanos, Revision revision, List<Vote> votes, byte[] document) {
      if (document != null) {
        addProposal(revision, document);
      }
      onNotice(new RevisionMessage.Notice(revision, votes));
    }

    @Override
    public Optional<byte[]> document(Revision revision) {
      return withDissemination
          ? dissemination.document(revision)
          : Optional.ofNullable(documents.get(revision.fingerprint()));
    }

    @Override
    public void addProposal(Revision revision, byte[] document) {
      assertTrue(revision.describes(document));
      documents.put(revision.fingerprint(), document);
    }

    @Override
    public void fetchProposal(
        long nowNanos, Revision revision, Peer from, Consumer<Optional<byte[]>> onCompleted) {
      Node holder = nodes.get(from.name());
      int startIncarnation = incarnation;
      boolean[] done = new boolean[1];
      Consumer<Optional<byte[]>> once =
          got -> {
            if (!done[0] && incarnation == startIncarnation) {
              done[0] = true;
              got.ifPresent(document -> addProposal(revision, document));
              onCompleted.accept(got);
            }
          };
      for (long afterNanos = 0;
          afterNanos < FETCH_TIMEOUT_NANOS;
          afterNanos += FETCH_TIMEOUT_NANOS / FETCH_ATTEMPTS) {
        schedule(
            afterNanos,
            () -> {
              if (!done[0] && incarnation == startIncarnation) {
                transmit(
                    this,
                    holder,
                    () -> {
                      Optional<byte[]> held = holder.document(revision);
                      if (held.isPresent()) {
                        transmit(holder, this, () -> once.accept(held));
                      }
                    });
              }
            });
      }
      schedule(FETCH_TIMEOUT_NANOS, () -> once.accept(Optional.empty()));
    }

    // ---- RevisionMessageSender ----

    @Override
    public int encodedBytes(RevisionMessage message) {
      return 100;
    }

    @Override
    public int maxPacketBytes() {
      return 1_200;
    }

    // ---- RevisionDissemination.Host ----

    @Override
    public void apply(long nowNanos, Revision revision, byte[] document) {
      dissemination.onInForce(nowNanos, revision.number());
    }

    @Override
    public void alarm(long nowNanos, String message) {
      throw new AssertionError(message);
    }

    @Override
    public boolean send(long nowNanos, String to, long address, List<RevisionMessage> messages) {
      if (random.nextDouble() < sendFailureRate) {
        return false;
      }
      List<RevisionMessage> out =
          new ArrayList<>(messages.stream().filter(message -> !suppressed.test(message)).toList());
      if (withDissemination) {
        out.add(dissemination.have());
      }
      Peer self = peer();
      transmit(this, nodes.get(to), () -> nodes.get(to).receive(self, out));
      return true;
    }
  }

  final Map<String, Node> nodes = new TreeMap<>();
  final Map<Long, Revision> log = new TreeMap<>();
  final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
  private final Map<String, List<Runnable>> waiting = new LinkedHashMap<>();
  private final List<String> cuts = new ArrayList<>();
  private final boolean withDissemination;
  private long sequence;
  long now = START;
  double lossRate;
  double duplicationRate;
  double sendFailureRate;
  long delayNanos = 5 * MILLISECOND;

  SimulatedIssuers(int count, long seed) {
    this(count, seed, false);
  }

  /** If {@code withDissemination}, each node's repository is a {@link RevisionDissemination}. */
  SimulatedIssuers(int count, long seed, boolean withDissemination) {
    this.withDissemination = withDissemination;
    random = new SplittableRandom(seed);
    for (int i = 1; i <= count; i++) {
      nodes.put("c" + i, new Node("c" + i));
    }
    nodes.values().forEach(Node::start);
    schedule(TICK_NANOS, this::tick);
  }

  private List<Peer> peers() {
    return nodes.values().stream().map(Node::peer).toList();
  }

  Node node(int i) {
    return nodes.get("c" + i);
  }

  /** Drops all messages from one node to another, in this direction. */
  void cut(int from, int to) {
    cuts.add("c" + from + ">c" + to);
  }

  void heal() {
    cuts.clear();
  }

  /** Pauses a node's process: messages wait until it is resumed. */
  void pause(int i) {
    node(i).paused = true;
  }

  void resume(int i) {
    node(i).paused = false;
    List<Runnable> all = waiting.remove("c" + i);
    if (all != null) {
      all.forEach(Runnable::run);
    }
  }

  private void schedule(long inNanos, Runnable action) {
    events.add(new Event(now + inNanos, sequence++, action));
  }

  private void transmit(Node from, Node to, Runnable action) {
    boolean cut = cuts.contains(from.name + ">" + to.name);
    int incarnation = to.incarnation;
    for (int i = random.nextDouble() < duplicationRate ? 2 : 1; i > 0; i--) {
      if (!cut && random.nextDouble() >= lossRate) {
        schedule(
            delayNanos / 2 + random.nextLong(delayNanos), () -> deliver(to, incarnation, action));
      }
    }
  }

  private void deliver(Node to, int incarnation, Runnable action) {
    if (to.incarnation != incarnation || to.consensus == null) {
      return;
    }
    if (to.paused) {
      waiting
          .computeIfAbsent(to.name, n -> new ArrayList<>())
          .add(() -> deliver(to, incarnation, action));
    } else {
      action.run();
    }
  }

  private void tick() {
    nodes.values().stream().filter(n -> n.consensus != null && !n.paused).forEach(Node::tick);
    schedule(TICK_NANOS, this::tick);
  }

  /** Records each proved revision that any node sees; checks that they form one hash chain. */
  private void recordProved(Revision r) {
    Revision before = log.putIfAbsent(r.number(), r);
    assertTrue(before == null || before.equals(r), "a fork at " + r.number());
    if (log.containsKey(r.number() - 1)) {
      assertArrayEquals(
          log.get(r.number() - 1).chain(),
          r.previous(),
          "revision " + r.number() + " does not follow the one before");
    }
    assertEquals(
        r.number() == 1 || log.containsKey(r.number() - 1), true, "a gap before " + r.number());
  }

  /** Advances the clock and runs the events that are due. */
  void advance(long nanos) {
    long until = now + nanos;
    while (events.peek().atNanos <= until) {
      Event event = events.poll();
      now = Math.max(now, event.atNanos);
      event.action.run();
    }
    now = until;
  }

  /** Advances the clock until a condition holds; false if it does not within the given time. */
  boolean await(long timeoutNanos, java.util.function.BooleanSupplier condition) {
    for (long until = now + timeoutNanos; now < until && !condition.getAsBoolean(); ) {
      advance(TICK_NANOS);
    }
    return condition.getAsBoolean();
  }

  /** Returns whether all running nodes hold the same newest revision and its document. */
  boolean hasConverged() {
    List<Node> up = nodes.values().stream().filter(n -> n.consensus != null && !n.paused).toList();
    return up.stream()
        .allMatch(
            n ->
                n.number() == up.get(0).number()
                    && n.document() != null
                    && n.consensus.newestNumber() == n.number());
  }
}
