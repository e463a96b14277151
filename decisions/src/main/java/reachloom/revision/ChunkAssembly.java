package reachloom.revision;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Puts the document of one revision together from its chunks, or from those of a delta to a
 * document that is held. The result is compared with the digest of the revision; where it differs,
 * the peer that sent the chunks is to blame if there was only one, else all are asked anew from one
 * peer.
 *
 * <p>Confined to the thread of {@link RevisionDissemination}.
 */
final class ChunkAssembly {
  private final Revision revision;
  private final long fingerprint;

  /** Whether deltas are asked for at all: not for a proposal, which is no successor of any yet. */
  private final boolean deltaAllowed;

  private final Set<String> senders = new TreeSet<>();
  private byte[][] chunks = new byte[0][];
  private long baseNumber; // of the chunks that are held; 0 where they are of the whole document
  private RevisionLog.Entry base; // which a delta is asked for, or null
  private boolean singleSender;
  private boolean deltaFailed;

  ChunkAssembly(Revision revision, boolean deltaAllowed) {
    this.revision = revision;
    this.fingerprint = revision.fingerprint();
    this.deltaAllowed = deltaAllowed;
  }

  /** Whether no chunk has come so far. */
  boolean isEmpty() {
    return chunks.length == 0;
  }

  boolean isComplete() {
    return !isEmpty() && firstMissing() >= chunks.length;
  }

  /** The index of the first chunk that is missing. */
  int firstMissing() {
    for (int i = 0; i < chunks.length; i++) {
      if (chunks[i] == null) {
        return i;
      }
    }
    return chunks.length;
  }

  /** Another peer is asked from now on. */
  void senderChanges() {
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
   * The request for what is missing.
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
        revision.number(), whole ? 0 : base.number(), whole ? fingerprint : base.fingerprint(), first);
  }

  /**
   * Takes a chunk; false where it does not fit or is held already.
   *
   * @param fromAskedPeer whether it comes from the peer that is being asked: only that one may
   *     replace chunks of a different base or count
   * @param baseHeld the base that the chunk names, if its document is held; else null
   */
  boolean add(
      String sender,
      boolean fromAskedPeer,
      RevisionMessage.Chunk chunk,
      RevisionLog.Entry baseHeld) {
    boolean differs = isEmpty() || chunk.of() != chunks.length || chunk.base() != baseNumber;
    if (!fits(chunk, baseHeld)
        || differs && !fromAskedPeer && !isEmpty()
        || singleSender && !fromAskedPeer) {
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

  /** The document of which all chunks are here; empty where they do not make it. */
  Optional<byte[]> assemble() {
    ByteBuffer all = ByteBuffer.allocate(Arrays.stream(chunks).mapToInt(c -> c.length).sum());
    Arrays.stream(chunks).forEach(all::put);
    byte[] document = baseNumber == 0 ? all.array() : Delta.apply(base.document(), all.array());
    return document != null && revision.describes(document)
        ? Optional.of(document)
        : Optional.empty();
  }

  /**
   * Drops chunks that do not make the document; gives the peer that sent all of them. With chunks
   * of several it can't be told who was wrong: from then on they are taken from one peer only.
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
