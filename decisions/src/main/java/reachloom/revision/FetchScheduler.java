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
 * Fetches the document of the newest revision: selects the peer, and when to switch to another one.
 * Times are nanoseconds of the clock that the caller passes in; confined to the thread of {@link
 * RevisionDissemination}.
 */
final class FetchScheduler {
  /** Mean pause before the next peer, if several have failed or none is available. */
  private static final long MEAN_PAUSE_NANOS = 500_000_000;

  /** Maximum unanswered requests to a peer once chunks are held; without chunks it is one. */
  private static final int MAX_ATTEMPTS = 2;

  /** Number of peers that are tried without a pause in between. */
  private static final int PEERS_WITHOUT_PAUSE = 4;

  private static final int MAX_SOURCES = 8;

  private final PeerTable peers;
  private final RevisionLog log;
  private final RevisionMessageSender sender;
  private final SplittableRandom random;

  /** Peers that have announced the revision, by name; limited to the first ones. */
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

  /** Starts to fetch the document of that revision; replaces a fetch in progress. */
  void start(long nowNanos, Revision revision) {
    sources.clear();
    fetch = new ChunkedFetch(revision, null);
    nextRequestAtNanos = nowNanos;
  }

  /** Stops fetching: the document of the newest revision is held. */
  void stop() {
    sources.clear();
    fetch = null;
  }

  /** Returns whether the document of that revision is being fetched. */
  boolean isFetching(Revision revision) {
    return fetch != null && fetch.revision.equals(revision);
  }

  /** Adds a peer that reports to hold the document of the newest revision. */
  void addSource(Peer peer) {
    if (fetch != null && sources.size() < MAX_SOURCES) {
      sources.put(peer.name(), peer);
    }
  }

  /**
   * Handles a peer's announcement of the newest revision. A peer announces a large document when it
   * has no pending transfers; the request is therefore sent to it immediately, unless the peer is
   * backed off, or chunks are held already, or another peer is selected and the announcing one is
   * not in the own zone.
   */
  void onAnnounced(long nowNanos, Peer peer) {
    addSource(peer);
    boolean canRequest =
        fetch != null
            && fetch.isEmpty()
            && !peers.backoff().isBackedOff(nowNanos, peer.name())
            && (fetch.peer == null || peers.isInZone(peer));
    if (canRequest) {
      fetch.switchTo(nowNanos, peer);
      nextRequestAtNanos = nowNanos;
    }
  }

  /** Handles a chunk; returns the document if that completes it. */
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

  /** Sends a request if one is due; switches to another peer if the current one is unresponsive. */
  void flush(long nowNanos) {
    if (fetch == null || nowNanos < nextRequestAtNanos) {
      return;
    }
    boolean unresponsive = isUnresponsive(nowNanos);
    if (unresponsive) {
      peers.backoff().penalize(nowNanos, fetch.peer.name(), Misbehaviour.UNRESPONSIVE, 0);
      fetch.peer = null;
    }
    if (fetch.peer == null && !selectNextPeer(nowNanos, unresponsive)) {
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

  /** Selects the next peer; false if none is available now. */
  private boolean selectNextPeer(long nowNanos, boolean unresponsive) {
    Optional<Peer> next = choosePeer(nowNanos);
    if (next.isEmpty() || unresponsive && fetch.peersTried >= PEERS_WITHOUT_PAUSE) {
      nextRequestAtNanos = nowNanos + MEAN_PAUSE_NANOS / 2 + random.nextLong(MEAN_PAUSE_NANOS);
    }
    next.ifPresent(peer -> fetch.switchTo(nowNanos, peer));
    return next.isPresent();
  }

  /**
   * Returns a peer that has the document: one of the own zone, else another one that announced it,
   * else an issuer, else any member that reports to hold it. If many members request a large
   * document, the first holder of a zone can't serve them all; therefore every second peer is an
   * issuer, if one is available.
   */
  private Optional<Peer> choosePeer(long nowNanos) {
    Optional<Peer> issuer = peers.randomIssuer(nowNanos);
    if (fetch.peersTried % 2 == 1 && issuer.isPresent()) {
      return issuer;
    }
    return chooseHolder(nowNanos, peers.zonePeers(), peers::isInZone)
        .or(() -> chooseHolder(nowNanos, List.of(), peer -> true))
        .or(() -> issuer)
        .or(() -> chooseHolder(nowNanos, peers.all(), peer -> true));
  }

  /** Returns a random matching source, or a random candidate that holds the document. */
  private Optional<Peer> chooseHolder(
      long nowNanos, Collection<PeerState> candidates, Predicate<Peer> sourceFilter) {
    List<Peer> eligible = new ArrayList<>();
    sources.values().stream()
        .filter(sourceFilter)
        .filter(peer -> !peers.backoff().isBackedOff(nowNanos, peer.name()))
        .forEach(eligible::add);
    peers
        .sample(
            candidates,
            1,
            state ->
                state.knownNumber == fetch.revision.number()
                    && !peers.backoff().isBackedOff(nowNanos, state.peer.name()))
        .forEach(state -> eligible.add(state.peer));
    return eligible.isEmpty()
        ? Optional.empty()
        : Optional.of(eligible.get(random.nextInt(eligible.size())));
  }

  /** Moves all deadlines: the time of a process pause does not count. */
  void shift(long byNanos) {
    if (fetch != null) {
      fetch.shift(byNanos);
    }
  }

  /** Returns the status line of the fetch in progress: revision and peer. */
  Optional<String> statusLine() {
    if (fetch == null) {
      return Optional.empty();
    }
    String from = fetch.peer == null ? "" : " from " + fetch.peer.name();
    return Optional.of("revision " + fetch.revision.number() + " is being fetched" + from);
  }
}
