package reachloom.revision;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The transfer of one document to this member, chunk by chunk, from one peer at a time: when to
 * ask, and when an answer is overdue. Whom to ask is the caller's choice. Times are nanoseconds of
 * the clock handed in; confined to the thread of {@link RevisionDissemination}.
 */
final class ChunkedFetch {
  /** Without a chunk for so long, the request is repeated. */
  private static final long ANSWER_TIMEOUT_NANOS = 400_000_000;

  /** More time for the first answer of the largest document: its sender finishes others first. */
  private static final long LARGEST_FIRST_ANSWER_NANOS = 1_000_000_000;

  /** For chunks that the last one of a window has overtaken. */
  private static final long REORDERING_NANOS = 30_000_000;

  /** With one peer, whatever it sends. */
  private static final long MAX_PEER_TIME_NANOS = 6_000_000_000L;

  final Revision revision;

  /** Who waits for the document of a proposal; null for a revision that is proved. */
  final Consumer<Optional<byte[]>> onCompleted;

  /** The peer that is being asked, or null. */
  Peer peer;

  /** When the peer is given up, whatever it sends. */
  long giveUpAtNanos;

  /** Requests to the peer since its last chunk. */
  int attempts;

  /** How many peers were asked. */
  int peersAsked;

  private final ChunkAssembly assembly;
  private long answerDueAtNanos; // 0 where no answer is expected
  private int lastOfWindow;

  ChunkedFetch(Revision revision, Consumer<Optional<byte[]>> onCompleted) {
    this.revision = revision;
    this.onCompleted = onCompleted;
    assembly = new ChunkAssembly(revision, onCompleted == null);
  }

  /** Goes on with that peer; what has come from others stays where it may. */
  void ask(long nowNanos, Peer next) {
    assembly.senderChanges();
    peer = next;
    attempts = 0;
    peersAsked++;
    answerDueAtNanos = 0;
    giveUpAtNanos = nowNanos + MAX_PEER_TIME_NANOS;
  }

  /**
   * Sends a request if no answer is expected, or it is overdue.
   *
   * @param newestHeld the newest revision whose document is held, as the base of a delta; or null
   */
  void request(long nowNanos, RevisionMessageSender sender, RevisionLog.Entry newestHeld) {
    boolean due = answerDueAtNanos == 0 || isLate(nowNanos);
    if (due
        && sender.send(
            nowNanos, peer.name(), peer.address(), List.of(assembly.request(newestHeld)))) {
      requested(nowNanos);
    }
  }

  private void requested(long nowNanos) {
    attempts++;
    int first = assembly.firstMissing();
    lastOfWindow = first + Chunks.WINDOW - 1;
    long moreNanos =
        first > 0 ? 0 : LARGEST_FIRST_ANSWER_NANOS * revision.size() / Revision.MAX_DOCUMENT_BYTES;
    answerDueAtNanos = nowNanos + ANSWER_TIMEOUT_NANOS + moreNanos;
  }

  /**
   * Takes a chunk; gives the document if that completes it. A peer that alone sent chunks which do
   * not make the document is backed off.
   */
  Optional<byte[]> onChunk(
      long nowNanos, Peer sender, RevisionMessage.Chunk chunk, RevisionLog log, PeerTable peers) {
    RevisionLog.Entry baseHeld =
        chunk.base() == 0 ? null : log.withDocument(chunk.base(), 0).orElse(null);
    boolean fromAskedPeer = peer != null && sender.name().equals(peer.name());
    if (!assembly.add(sender.name(), fromAskedPeer, chunk, baseHeld)) {
      return Optional.empty();
    }
    if (fromAskedPeer && answerDueAtNanos != 0) {
      expectMore(nowNanos, chunk);
    }
    if (!assembly.isComplete()) {
      return Optional.empty();
    }
    Optional<byte[]> document = assembly.assemble();
    if (document.isEmpty()) {
      startAnew(nowNanos, peers);
    }
    return document;
  }

  private void expectMore(long nowNanos, RevisionMessage.Chunk chunk) {
    attempts = 0;
    boolean last = chunk.index() >= lastOfWindow || chunk.index() == chunk.of() - 1;
    boolean windowComplete = assembly.firstMissing() > lastOfWindow;
    answerDueAtNanos =
        windowComplete ? 0 : nowNanos + (last ? REORDERING_NANOS : ANSWER_TIMEOUT_NANOS);
  }

  private void startAnew(long nowNanos, PeerTable peers) {
    assembly
        .discard()
        .ifPresent(
            name ->
                peers.backoff().penalize(nowNanos, name, PeerBackoff.Misbehaviour.INVALID_DATA, 0));
    answerDueAtNanos = 0;
    peer = onCompleted == null ? null : peer; // a proposal is had from its proposer alone
  }

  /** Whether no chunk has come so far. */
  boolean isEmpty() {
    return assembly.isEmpty();
  }

  /** Whether the answer that is expected is overdue. */
  boolean isLate(long nowNanos) {
    return answerDueAtNanos != 0 && nowNanos >= answerDueAtNanos;
  }

  /** Moves all deadlines: time in which this process stood still does not count. */
  void shift(long byNanos) {
    answerDueAtNanos += answerDueAtNanos == 0 ? 0 : byNanos;
    giveUpAtNanos += byNanos;
  }
}
