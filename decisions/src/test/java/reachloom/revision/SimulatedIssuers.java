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
 * Issuers on a network in simulated time that loses, delays, copies and cuts. Each has a consensus
 * node, a store that a test may break or take away, and a repository that asks and answers over the
 * same network.
 */
final class SimulatedIssuers {
  static final long MILLISECOND = 1_000_000;
  static final long SECOND = 1_000 * MILLISECOND;
  static final long START = 1_700_000_000L * SECOND;
  private static final long TICK = 100 * MILLISECOND;
  private static final long HAVE = SECOND;
  private static final long FETCH = SECOND;
  private static final int FETCHES = 4;

  private record Event(long at, long order, Runnable what) {}

  /** Signatures that nobody forges in these tests: a hash over name and chain. */
  private record Hashes(String name) implements SignatureScheme {
    @Override
    public byte[] sign(byte[] chain) {
      byte[] n = name.getBytes(StandardCharsets.UTF_8);
      byte[] all = Arrays.copyOf(n, n.length + chain.length);
      System.arraycopy(chain, 0, all, n.length, chain.length);
      return Revision.hash(all);
    }

    @Override
    public boolean verify(String issuer, byte[] chain, byte[] signature) {
      return Arrays.equals(new Hashes(issuer).sign(chain), signature);
    }
  }

  /** The signatures of an issuer. */
  static SignatureScheme seal(String name) {
    return new Hashes(name);
  }

  /** A disk: it outlives its issuer. */
  static final class Disk implements ConsensusStore {
    /** What was saved last; null once it is lost. */
    ConsensusState state = ConsensusState.initial();

    boolean broken;

    boolean takesPart() {
      return state != null && state.mayVote();
    }

    @Override
    public Optional<ConsensusState> load() {
      return Optional.ofNullable(state);
    }

    @Override
    public boolean save(ConsensusState next) {
      state = broken ? state : next;
      return !broken;
    }
  }

  /** One issuer's machine; its consensus is null while it is down. */
  final class Node
      implements RevisionRepository, RevisionMessageSender, RevisionDissemination.Host {
    final String name;
    final Disk disk = new Disk();
    final Map<Long, byte[]> documents = new TreeMap<>();
    ConsensusNode consensus;

    /** The repository where the members' own part is played; else null, and this is it. */
    RevisionDissemination dissemination;

    RevisionMessage.Notice newest;
    boolean paused;
    int life;
    private long haveAt;
    private long told;

    /** Messages that are lost on their way out of this one. */
    Predicate<RevisionMessage> suppressed = w -> false;

    Node(String name) {
      this.name = name;
    }

    Peer peer() {
      return new Peer(name, 1 + name.hashCode(), 0);
    }

    void start() {
      life++;
      documents.clear();
      newest = null;
      told = 0;
      if (real) {
        dissemination =
            new RevisionDissemination(
                new DisseminationMember(
                    name, 1, peers(), ConsensusNode.quorum(nodes.size()), new Hashes(name)),
                random.split(),
                this,
                this,
                now);
        dissemination.setPeers(peers().stream().filter(p -> !p.name().equals(name)).toList());
      }
      RevisionRepository repository = real ? dissemination : this;
      consensus =
          new ConsensusNode(
              name,
              peers(),
              new ConsensusEnvironment(new Hashes(name), disk, repository, this),
              random.split(),
              now);
    }

    void crash() {
      consensus = null;
      life++;
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

    /** The newest number whose document is held: what a member tells that it knows. */
    private long held() {
      if (newest != null && document(newest.revision()).isPresent()) {
        told = Math.max(told, number());
      }
      return told;
    }

    /** The text of the newest revision's document; null where it is not held. */
    String document() {
      return newest()
          .flatMap(n -> document(n.revision()))
          .map(held -> new String(held, StandardCharsets.UTF_8))
          .orElse(null);
    }

    private void tick() {
      if (real) {
        dissemination.tick(now);
      }
      consensus.tick(now);
      look();
      if (now >= haveAt) {
        haveAt = now + HAVE;
        fetchNewest();
        nodes.values().stream()
            .filter(n -> n != this)
            .forEach(
                n -> send(now, n.name, 0, List.of(new RevisionMessage.Have(held(), 0, held()))));
      }
    }

    private void receive(Peer sender, List<RevisionMessage> messages) {
      if (real) {
        dissemination.receive(now, sender, messages);
        consensus.receive(now, sender, messages);
        look();
        return;
      }
      for (RevisionMessage w : messages) {
        if (w instanceof RevisionMessage.Have h && h.known() > number()) {
          send(now, sender.name(), 0, List.of(new RevisionMessage.Want(0, 0, 0, 0)));
        } else if (w instanceof RevisionMessage.Want && newest != null) {
          send(now, sender.name(), 0, List.of(newest));
        } else if (w instanceof RevisionMessage.Notice n) {
          take(n);
        }
      }
      consensus.receive(now, sender, messages);
    }

    private void look() {
      if (real) {
        dissemination.newest().ifPresent(this::take);
      }
    }

    private void take(RevisionMessage.Notice n) {
      long good =
          n.votes().stream()
              .filter(v -> new Hashes("").verify(v.issuer(), n.revision().chain(), v.signature()))
              .map(Vote::issuer)
              .distinct()
              .filter(nodes::containsKey)
              .count();
      assertTrue(good >= ConsensusNode.quorum(nodes.size()), "a notice without its proof");
      note(n.revision());
      if (n.revision().number() > number()) {
        newest = n;
        fetchNewest();
      }
    }

    private void fetchNewest() {
      if (!real && newest != null && document(newest.revision()).isEmpty()) {
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
    public void addChosen(long at, Revision revision, List<Vote> votes, byte[] document) {
      if (document != null) {
        addProposal(revision, document);
      }
      take(new RevisionMessage.Notice(revision, votes));
    }

    @Override
    public Optional<byte[]> document(Revision revision) {
      return real
          ? dissemination.document(revision)
          : Optional.ofNullable(documents.get(revision.fingerprint()));
    }

    @Override
    public void addProposal(Revision revision, byte[] document) {
      assertTrue(revision.describes(document));
      documents.put(revision.fingerprint(), document);
    }

    @Override
    public void fetchProposal(long at, Revision revision, Peer from, Consumer<Optional<byte[]>> then) {
      Node holder = nodes.get(from.name());
      int asked = life;
      boolean[] done = new boolean[1];
      Consumer<Optional<byte[]>> once =
          got -> {
            if (!done[0] && life == asked) {
              done[0] = true;
              got.ifPresent(document -> addProposal(revision, document));
              then.accept(got);
            }
          };
      for (long in = 0; in < FETCH; in += FETCH / FETCHES) {
        later(
            in,
            () -> {
              if (!done[0] && life == asked) {
                carry(
                    this,
                    holder,
                    () -> {
                      Optional<byte[]> held = holder.document(revision);
                      if (held.isPresent()) {
                        carry(holder, this, () -> once.accept(held));
                      }
                    });
              }
            });
      }
      later(FETCH, () -> once.accept(Optional.empty()));
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

    // ---- RevisionDissemination's host ----

    @Override
    public void apply(long at, Revision revision, byte[] document) {
      dissemination.onInForce(at, revision.number());
    }

    @Override
    public void alarm(long at, String what) {
      throw new AssertionError(what);
    }

    @Override
    public boolean send(long at, String to, long address, List<RevisionMessage> messages) {
      if (random.nextDouble() < refusing) {
        return false;
      }
      List<RevisionMessage> out =
          new ArrayList<>(messages.stream().filter(w -> !suppressed.test(w)).toList());
      if (real) {
        out.add(dissemination.have());
      }
      Peer me = peer();
      carry(this, nodes.get(to), () -> nodes.get(to).receive(me, out));
      return true;
    }
  }

  final Map<String, Node> nodes = new TreeMap<>();
  final Map<Long, Revision> log = new TreeMap<>();
  final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final Map<String, List<Runnable>> waiting = new LinkedHashMap<>();
  private final List<String> cuts = new ArrayList<>();
  private final boolean real;
  private long order;
  long now = START;
  double loss;
  double copies;
  double refusing;
  long delay = 5 * MILLISECOND;

  SimulatedIssuers(int count, long seed) {
    this(count, seed, false);
  }

  /** With {@code real}, the members' own part is played by {@link RevisionDissemination}. */
  SimulatedIssuers(int count, long seed, boolean real) {
    this.real = real;
    random = new SplittableRandom(seed);
    for (int i = 1; i <= count; i++) {
      nodes.put("c" + i, new Node("c" + i));
    }
    nodes.values().forEach(Node::start);
    later(TICK, this::tick);
  }

  private List<Peer> peers() {
    return nodes.values().stream().map(Node::peer).toList();
  }

  Node node(int i) {
    return nodes.get("c" + i);
  }

  /** Nothing gets from one to the other any more. */
  void cut(int from, int to) {
    cuts.add("c" + from + ">c" + to);
  }

  void heal() {
    cuts.clear();
  }

  /** Its process is paused: nothing that comes is looked at until it is resumed. */
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

  private void later(long in, Runnable what) {
    events.add(new Event(now + in, order++, what));
  }

  private void carry(Node from, Node to, Runnable what) {
    boolean cut = cuts.contains(from.name + ">" + to.name);
    int life = to.life;
    for (int i = random.nextDouble() < copies ? 2 : 1; i > 0; i--) {
      if (!cut && random.nextDouble() >= loss) {
        later(delay / 2 + random.nextLong(delay), () -> arrive(to, life, what));
      }
    }
  }

  private void arrive(Node to, int life, Runnable what) {
    if (to.life != life || to.consensus == null) {
      return;
    }
    if (to.paused) {
      waiting.computeIfAbsent(to.name, n -> new ArrayList<>()).add(() -> arrive(to, life, what));
    } else {
      what.run();
    }
  }

  private void tick() {
    nodes.values().stream().filter(n -> n.consensus != null && !n.paused).forEach(Node::tick);
    later(TICK, this::tick);
  }

  /** Each proved revision that anybody ever sees: one chain a number, each on the one before. */
  private void note(Revision r) {
    Revision before = log.putIfAbsent(r.number(), r);
    assertTrue(before == null || before.equals(r), "a fork at " + r.number());
    if (log.containsKey(r.number() - 1)) {
      assertArrayEquals(log.get(r.number() - 1).chain(), r.previous(), "not on the one before");
    }
    assertEquals(
        r.number() == 1 || log.containsKey(r.number() - 1), true, "a gap before " + r.number());
  }

  void pass(long time) {
    long until = now + time;
    while (events.peek().at <= until) {
      Event e = events.poll();
      now = Math.max(now, e.at);
      e.what.run();
    }
    now = until;
  }

  /** Lets time pass until that holds; false where it does not within the given time. */
  boolean await(long most, java.util.function.BooleanSupplier holds) {
    for (long until = now + most; now < until && !holds.getAsBoolean(); ) {
      pass(TICK);
    }
    return holds.getAsBoolean();
  }

  /** All that are up hold the same newest revision and its document. */
  boolean agree() {
    List<Node> up = nodes.values().stream().filter(n -> n.consensus != null && !n.paused).toList();
    return up.stream()
        .allMatch(
            n ->
                n.number() == up.get(0).number()
                    && n.document() != null
                    && n.consensus.newestNumber() == n.number());
  }
}
