package reachloom.revision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import reachloom.revision.PeerBackoff.Misbehaviour;
import reachloom.revision.PeerTable.PeerState;

/**
 * Fetches the document of the newest revision: which peer is asked, and when another one is. Times
 * are nanoseconds of the clock handed in; confined to the thread of {@link RevisionDissemination}.
 */
final class FetchScheduler {
  /** Between two peers, on average, once some were asked in vain. */
  private static final long PAUSE_NANOS = 500_000_000;

  /** Requests to one peer without a chunk, where it has sent some before. */
  private static final int MAX_ATTEMPTS = 2;

  /** Peers that are asked one after the other, before there are pauses. */
  private static final int PEERS_WITHOUT_PAUSE = 4;

  private static final int MAX_SOURCES = 8;

  private final PeerTable peers;
  private final RevisionLog log;
  private final RevisionMessageSender sender;
  private final SplittableRandom random;

  /** Peers that announced the revision, by name; the first ones are kept. */
  private final Map<String, Peer> sources = new LinkedHashMap<>();

  private ChunkedFetch fetch; // null while nothing is fetched
  private long nextRequestAtNanos;

  FetchScheduler(
      PeerTable peers, RevisionLog log, RevisionMessageSender sender, SplittableRandom random) {
    this.peers = peers;
    this.log = log;
    this.sender = sender;
    this.random = random;
  }

  /** Fetches the document of that revision from now on, and of no other. */
  void start(long nowNanos, Revision revision) {
    sources.clear();
    fetch = new ChunkedFetch(revision, null);
    nextRequestAtNanos = nowNanos;
  }

  /** Fetches nothing any more: the document of the newest is held. */
  void stop() {
    sources.clear();
    fetch = null;
  }

  /** Whether the document of that revision is being fetched. */
  boolean isFetching(Revision revision) {
    return fetch != null && fetch.revision.equals(revision);
  }

  /** A peer says that it holds the document of the newest. */
  void addSource(Peer peer) {
    if (fetch != null && sources.size() < MAX_SOURCES) {
      sources.put(peer.name(), peer);
    }
  }

  /**
   * A peer has announced the newest just now. It announces a large one when nobody waits for it
   * there, so that it is asked at once, unless another of the own zone is.
   */
  void onAnnounced(long nowNanos, Peer peer) {
    addSource(peer);
    boolean free =
        fetch != null
            && fetch.isEmpty()
            && !peers.backoff().isBackedOff(nowNanos, peer.name())
            && (fetch.peer == null || peers.isInZone(peer));
    if (free) {
      fetch.ask(nowNanos, peer);
      nextRequestAtNanos = nowNanos;
    }
  }

  /** Takes a chunk; gives the document if that completes it. */
  Optional<byte[]> onChunk(long nowNanos, Peer from, RevisionMessage.Chunk chunk) {
    if (fetch == null) {
      return Optional.empty();
    }
    Optional<byte[]> document = fetch.onChunk(nowNanos, from, chunk, log, peers);
    if (document.isPresent()) {
      peers.backoff().forgive(from.name(), chunk.number());
    }
    return document;
  }

  /** Sends a request where one is due, to another peer where the present one does not answer. */
  void step(long nowNanos) {
    if (fetch == null || nowNanos < nextRequestAtNanos) {
      return;
    }
    boolean unresponsive = isUnresponsive(nowNanos);
    if (unresponsive) {
      peers.backoff().penalize(nowNanos, fetch.peer.name(), Misbehaviour.UNRESPONSIVE, 0);
      fetch.peer = null;
    }
    if (fetch.peer == null && !askNext(nowNanos, unresponsive)) {
      return;
    }
    if (nowNanos >= nextRequestAtNanos) {
      fetch.request(nowNanos, sender, log.newestWithDocument().orElse(null));
    }
  }

  private boolean isUnresponsive(long nowNanos) {
    if (fetch.peer == null) {
      return false;
    }
    boolean silent = fetch.isLate(nowNanos) && (fetch.isEmpty() || fetch.attempts >= MAX_ATTEMPTS);
    return silent || nowNanos >= fetch.giveUpAtNanos;
  }

  /** Turns to the next peer; false where there is none to ask now. */
  private boolean askNext(long nowNanos, boolean unresponsive) {
    Optional<Peer> next = choosePeer(nowNanos);
    if (next.isEmpty() || unresponsive && fetch.peersAsked >= PEERS_WITHOUT_PAUSE) {
      nextRequestAtNanos = nowNanos + PAUSE_NANOS / 2 + random.nextLong(PAUSE_NANOS);
    }
    next.ifPresent(peer -> fetch.ask(nowNanos, peer));
    return next.isPresent();
  }

  /**
   * A peer that has the document: one of the own zone, else another one that announced it, else an
   * issuer. Where many want a large document, the first of a zone to have it can't serve them all;
   * therefore every other request goes to an issuer.
   */
  private Optional<Peer> choosePeer(long nowNanos) {
    Optional<Peer> issuer = peers.randomIssuer(nowNanos);
    if (fetch.peersAsked % 2 == 1 && issuer.isPresent()) {
      return issuer;
    }
    return chooseHolder(nowNanos, peers.zonePeers(), peers::isInZone)
        .or(() -> chooseHolder(nowNanos, List.of(), peer -> true))
        .or(() -> issuer)
        .or(() -> chooseHolder(nowNanos, peers.all(), peer -> true));
  }

  /** At random one of the sources that match, or of the candidates that hold the document. */
  private Optional<Peer> chooseHolder(
      long nowNanos, Collection<PeerState> candidates, Predicate<Peer> sourceFilter) {
    List<Peer> open = new ArrayList<>();
    sources.values().stream()
        .filter(sourceFilter)
        .filter(peer -> !peers.backoff().isBackedOff(nowNanos, peer.name()))
        .forEach(open::add);
    peers
        .sample(
            candidates,
            1,
            state ->
                state.knownNumber == fetch.revision.number()
                    && !peers.backoff().isBackedOff(nowNanos, state.peer.name()))
        .forEach(state -> open.add(state.peer));
    return open.isEmpty() ? Optional.empty() : Optional.of(open.get(random.nextInt(open.size())));
  }

  /** Moves all deadlines: time in which this process stood still does not count. */
  void shift(long byNanos) {
    if (fetch != null) {
      fetch.shift(byNanos);
    }
  }

  /** What is being fetched, and from whom, for the status lines. */
  Optional<String> statusLine() {
    if (fetch == null) {
      return Optional.empty();
    }
    String from = fetch.peer == null ? "" : " from " + fetch.peer.name();
    return Optional.of("revision " + fetch.revision.number() + " is being fetched" + from);
  }
}
