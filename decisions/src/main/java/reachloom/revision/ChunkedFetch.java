package reachloom.revision;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The chunked transfer of one document to this member, from one peer at a time: sends requests and
 * detects overdue answers. The caller selects the peer. Times are nanoseconds of the clock that the
 * caller passes in; confined to the thread of {@link RevisionDissemination}.
 */
final class ChunkedFetch {
  /** Time without a chunk after which the request is repeated. */
  private static final long ANSWER_TIMEOUT_NANOS = 400_000_000;

  /** Extra time for the first chunk of the largest document: its sender serves others first. */
  private static final long LARGEST_FIRST_ANSWER_NANOS = 1_000_000_000;

  /** Time to wait for chunks that the last one of a window has overtaken. */
  private static final long REORDERING_NANOS = 30_000_000;

  /** Maximum time with one peer, even if it sends chunks. */
  private static final long MAX_PEER_TIME_NANOS = 6_000_000_000L;

  final Revision revision;

  /** Receives the document of a proposal; null for a proved revision. */
  final Consumer<Optional<byte[]>> onCompleted;

  /** The current peer, or null. */
  Peer peer;

  /** When the current peer is given up, even if it sends chunks. */
  long giveUpAtNanos;

  /** Number of requests to the current peer since its last chunk. */
  int attempts;

  /** Number of peers tried; for a proposal, also of unanswered requests. */
  int peersTried;

  private final ChunkAssembly assembly;
  private long answerDueAtNanos; // 0 if no answer is expected
  private int lastIndexOfWindow;

  ChunkedFetch(Revision revision, Consumer<Optional<byte[]>> onCompleted) {
    this.revision = revision;
    this.onCompleted = onCompleted;
    assembly = new ChunkAssembly(revision, onCompleted == null);
  }

  /** Switches to another peer; keeps the chunks of earlier ones where that is allowed. */
  void switchTo(long nowNanos, Peer next) {
    assembly.onPeerChanged();
    peer = next;
    attempts = 0;
    peersTried++;
    answerDueAtNanos = 0;
    giveUpAtNanos = nowNanos + MAX_PEER_TIME_NANOS;
  }

  /**
   * Sends a request if no answer is expected, or the expected one is overdue.
   *
   * @param newestHeld the newest revision whose document is held, as the base of a delta; or null
   */
  void request(long nowNanos, RevisionMessageSender sender, RevisionLog.Entry newestHeld) {
    boolean due = answerDueAtNanos == 0 || isLate(nowNanos);
    if (due
        && sender.send(
            nowNanos, peer.name(), peer.address(), List.of(assembly.request(newestHeld)))) {
      onRequestSent(nowNanos);
    }
  }

  private void onRequestSent(long nowNanos) {
    attempts++;
    int first = assembly.firstMissing();
    lastIndexOfWindow = first + Chunks.WINDOW - 1;
    long extraNanos =
        first > 0 ? 0 : LARGEST_FIRST_ANSWER_NANOS * revision.size() / Revision.MAX_DOCUMENT_BYTES;
    answerDueAtNanos = nowNanos + ANSWER_TIMEOUT_NANOS + extraNanos;
  }

  /**
   * Handles a chunk; returns the document if that completes it. If the chunks do not match the
   * digest and all came from one peer, that peer is backed off.
   */
  Optional<byte[]> onChunk(
      long nowNanos, Peer sender, RevisionMessage.Chunk chunk, RevisionLog log, PeerTable peers) {
    RevisionLog.Entry baseHeld =
        chunk.base() == 0 ? null : log.withDocument(chunk.base(), 0).orElse(null);
    boolean fromCurrentPeer = peer != null && sender.name().equals(peer.name());
    if (!assembly.add(sender.name(), fromCurrentPeer, chunk, baseHeld)) {
      return Optional.empty();
    }
    if (fromCurrentPeer && answerDueAtNanos != 0) {
      expectMore(nowNanos, chunk);
    }
    if (!assembly.isComplete()) {
      return Optional.empty();
    }
    Optional<byte[]> document = assembly.assemble();
    if (document.isEmpty()) {
      restart(nowNanos, peers);
    }
    return document;
  }

  private void expectMore(long nowNanos, RevisionMessage.Chunk chunk) {
    attempts = 0;
    boolean last = chunk.index() >= lastIndexOfWindow || chunk.index() == chunk.of() - 1;
    boolean windowComplete = assembly.firstMissing() > lastIndexOfWindow;
    answerDueAtNanos =
        windowComplete ? 0 : nowNanos + (last ? REORDERING_NANOS : ANSWER_TIMEOUT_NANOS);
  }

  private void restart(long nowNanos, PeerTable peers) {
    assembly
        .discard()
        .ifPresent(
            name ->
                peers.backoff().penalize(nowNanos, name, PeerBackoff.Misbehaviour.INVALID_DATA, 0));
    answerDueAtNanos = 0;
    // The fetch of a proposal keeps the one peer that its caller has named.
    peer = onCompleted == null ? null : peer;
  }

  /** Returns whether no chunk has been received so far. */
  boolean isEmpty() {
    return assembly.isEmpty();
  }

  /** Returns whether the expected answer is overdue. */
  boolean isLate(long nowNanos) {
    return answerDueAtNanos != 0 && nowNanos >= answerDueAtNanos;
  }

  /** Moves all deadlines: the time of a process pause does not count. */
  void shift(long byNanos) {
    answerDueAtNanos += answerDueAtNanos == 0 ? 0 : byNanos;
    giveUpAtNanos += byNanos;
  }
}
