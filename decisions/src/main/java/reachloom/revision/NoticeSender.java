package reachloom.revision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import reachloom.revision.PeerTable.PeerState;

/**
 * Announces the newest revision to members: sends the notice, together with the whole change if
 * both fit into one packet. Keeps pending announcements until the byte budget allows them. Times
 * are nanoseconds of the clock that the caller passes in; confined to the thread of {@link
 * RevisionDissemination}.
 */
final class NoticeSender {
  /** Minimum interval between two announcements to one member. */
  static final long REPEAT_INTERVAL_NANOS = 500_000_000;

  private static final int MAX_PENDING = 64;

  private final RevisionLog log;
  private final PeerTable peers;
  private final PeerMessenger messenger;
  private final TransferQueue transfers;
  private final Map<String, Peer> pending = new LinkedHashMap<>(); // by name

  NoticeSender(RevisionLog log, PeerTable peers, PeerMessenger messenger, TransferQueue transfers) {
    this.log = log;
    this.peers = peers;
    this.messenger = messenger;
    this.transfers = transfers;
  }

  /** Queues an announcement to a member, unless one was sent within the repeat interval. */
  void enqueue(long nowNanos, Peer peer) {
    enqueue(nowNanos, peer, REPEAT_INTERVAL_NANOS);
  }

  /** Queues an announcement to a member, unless one was sent within that interval. */
  void enqueue(long nowNanos, Peer peer, long intervalNanos) {
    boolean recentlyNotified =
        peers
            .find(peer.name())
            .filter(state -> state.announcedNumber == log.newestNumber())
            .filter(state -> nowNanos - state.announcedAtNanos < intervalNanos)
            .isPresent();
    // An announcement implies that the document is held: the receiver requests it next.
    boolean documentHeld = log.newest().filter(RevisionLog.Entry::hasDocument).isPresent();
    if (documentHeld && pending.size() < MAX_PENDING && !recentlyNotified) {
      pending.put(peer.name(), peer);
    }
  }

  /** Queues an announcement to a member, regardless of earlier ones. */
  void enqueueAlways(Peer peer) {
    pending.put(peer.name(), peer);
  }

  /** Sends the pending announcements that the byte budget allows. */
  void flush(long nowNanos) {
    for (Peer peer : List.copyOf(pending.values())) {
      if (!sendNewest(nowNanos, peer)) {
        return;
      }
      pending.remove(peer.name());
    }
  }

  /**
   * Announces the newest revision to a member now; false if its document is not held or the byte
   * budget is used up.
   */
  boolean sendNewest(long nowNanos, Peer to) {
    RevisionLog.Entry newest = log.newest().filter(RevisionLog.Entry::hasDocument).orElse(null);
    if (newest == null) {
      return false;
    }
    PeerState state = peers.find(to.name()).orElse(null);
    List<RevisionMessage> messages = new ArrayList<>();
    messages.add(newest.notice());
    inlineChunk(newest, state).ifPresent(messages::add);
    if (!messenger.send(nowNanos, to, messages)) {
      return false;
    }
    if (state != null) {
      state.announcedNumber = newest.number();
      state.announcedAtNanos = nowNanos;
    }
    return true;
  }

  /** Returns whether the newest document, or the delta to it, is sent along with the notice. */
  boolean isInline() {
    return log.newest().flatMap(newest -> inlineChunk(newest, null)).isPresent();
  }

  /** Returns whether large transfers are pending: a member notified now would have to wait. */
  boolean isCongested() {
    return !transfers.isIdle() && !isInline();
  }

  /**
   * Returns the whole change as a chunk if a packet holds it and the notice; receiver may be null.
   */
  private Optional<RevisionMessage> inlineChunk(RevisionLog.Entry newest, PeerState receiver) {
    if (!newest.hasDocument()) {
      return Optional.empty();
    }
    RevisionMessage.Chunk chunk = changeChunk(newest, baseFor(newest, receiver));
    boolean fits =
        chunk.bytes().length <= Chunks.CHUNK_BYTES
            && messenger.fitOnePacket(List.of(newest.notice(), chunk));
    return fits ? Optional.of(chunk) : Optional.empty();
  }

  /** Returns the revision in force at the receiver; if unknown, the one before the newest. */
  private Optional<RevisionLog.Entry> baseFor(RevisionLog.Entry newest, PeerState receiver) {
    return receiver != null && receiver.inForceNumber > 0
        ? log.withDocument(receiver.inForceNumber, receiver.inForceFingerprint)
        : log.newestWithDocumentBelow(newest.number());
  }

  private static RevisionMessage.Chunk changeChunk(
      RevisionLog.Entry newest, Optional<RevisionLog.Entry> base) {
    byte[] document = newest.document();
    if (base.isPresent()) {
      byte[] delta = Delta.encode(base.get().document(), document);
      if (delta.length < document.length) {
        return new RevisionMessage.Chunk(newest.number(), base.get().number(), 0, 1, delta);
      }
    }
    return new RevisionMessage.Chunk(newest.number(), 0, 0, 1, document);
  }
}
