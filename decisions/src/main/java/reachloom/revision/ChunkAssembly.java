package reachloom.revision;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Assembles the document of one revision from its chunks, or from the chunks of a delta to a held
 * document, and verifies the digest. If the digest differs and one peer sent all chunks, that peer
 * is reported; otherwise the chunks are requested again from a single peer.
 *
 * <p>Confined to the thread of {@link RevisionDissemination}.
 */
final class ChunkAssembly {
  private final Revision revision;
  private final long fingerprint;

  /**
   * Whether deltas are requested; false for a proposal, since only a request for the whole document
   * can identify it by its fingerprint.
   */
  private final boolean deltaAllowed;

  private final Set<String> senders = new TreeSet<>();
  private byte[][] chunks = new byte[0][];
  private long baseNumber; // of the held chunks; 0 if they are of the whole document
  private RevisionLog.Entry base; // of the requested delta, or null
  private boolean singleSender;
  private boolean deltaFailed;

  ChunkAssembly(Revision revision, boolean deltaAllowed) {
    this.revision = revision;
    this.fingerprint = revision.fingerprint();
    this.deltaAllowed = deltaAllowed;
  }

  /** Returns whether no chunk has been received so far. */
  boolean isEmpty() {
    return chunks.length == 0;
  }

  boolean isComplete() {
    return !isEmpty() && firstMissing() >= chunks.length;
  }

  /** Returns the index of the first missing chunk. */
  int firstMissing() {
    for (int i = 0; i < chunks.length; i++) {
      if (chunks[i] == null) {
        return i;
      }
    }
    return chunks.length;
  }

  /** Handles a switch to another peer. */
  void onPeerChanged() {
    if (singleSender) {
      clear();
    }
  }

  private void clear() {
    chunks = new byte[0][];
    senders.clear();
    base = null;
  }

  /**
   * Returns the request for the missing chunks.
   *
   * @param newestHeld the newest revision whose document is held, as the base of a delta; or null
   */
  RevisionMessage.Want request(RevisionLog.Entry newestHeld) {
    int first = firstMissing();
    if (first == 0) {
      base = deltaFailed || !deltaAllowed ? null : newestHeld;
    }
    boolean whole = base == null || first > 0 && baseNumber == 0;
    return new RevisionMessage.Want(
        revision.number(),
        whole ? 0 : base.number(),
        whole ? fingerprint : base.fingerprint(),
        first);
  }

  /**
   * Adds a chunk; false if it does not fit or is already held.
   *
   * @param fromCurrentPeer whether the current peer sent it: only that peer may replace chunks of a
   *     different base or count
   * @param baseHeld the base of the chunk, if its document is held; else null
   */
  boolean add(
      String sender,
      boolean fromCurrentPeer,
      RevisionMessage.Chunk chunk,
      RevisionLog.Entry baseHeld) {
    boolean differs = isEmpty() || chunk.of() != chunks.length || chunk.base() != baseNumber;
    if (!fits(chunk, baseHeld)
        || differs && !fromCurrentPeer && !isEmpty()
        || singleSender && !fromCurrentPeer) {
      return false;
    }
    if (differs) {
      clear();
      chunks = new byte[chunk.of()][];
      baseNumber = chunk.base();
    }
    base = chunk.base() == 0 ? base : baseHeld;
    if (chunks[chunk.index()] != null) {
      return false;
    }
    chunks[chunk.index()] = chunk.bytes();
    senders.add(sender);
    return true;
  }

  private boolean fits(RevisionMessage.Chunk chunk, RevisionLog.Entry baseHeld) {
    boolean last = chunk.index() == chunk.of() - 1;
    return chunk.number() == revision.number()
        && chunk.of() >= 1
        && chunk.of() <= Chunks.MAX_CHUNKS
        && chunk.index() >= 0
        && chunk.index() < chunk.of()
        && chunk.bytes().length <= Chunks.CHUNK_BYTES
        && (last || chunk.bytes().length > 0)
        && (chunk.base() == 0
            ? chunk.of() == Chunks.count(revision.size())
            : baseHeld != null && !deltaFailed);
  }

  /** Returns the document of the complete chunks; empty if size or digest do not match. */
  Optional<byte[]> assemble() {
    ByteBuffer all = ByteBuffer.allocate(Arrays.stream(chunks).mapToInt(c -> c.length).sum());
    Arrays.stream(chunks).forEach(all::put);
    byte[] document = baseNumber == 0 ? all.array() : Delta.apply(base.document(), all.array());
    return document != null && revision.describes(document)
        ? Optional.of(document)
        : Optional.empty();
  }

  /**
   * Drops chunks that do not match the digest, and returns the peer that sent all of them. If
   * several peers sent them, the faulty one is unknown: from then on chunks are accepted from one
   * peer only.
   */
  Optional<String> discard() {
    Optional<String> onlySender =
        senders.size() == 1 ? Optional.of(senders.iterator().next()) : Optional.empty();
    singleSender = onlySender.isEmpty();
    deltaFailed |= baseNumber != 0;
    clear();
    return onlySender;
  }
}
