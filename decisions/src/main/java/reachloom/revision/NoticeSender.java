package reachloom.revision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import reachloom.revision.PeerTable.PeerState;

/**
 * Announces the newest revision to members: the notice, and with it the whole change where both fit
 * one packet. Keeps the members that are owed an announcement until the budget allows it. Times are
 * nanoseconds of the clock handed in; confined to the thread of {@link RevisionDissemination}.
 */
final class NoticeSender {
  /** A member that has been told is not told again within that time. */
  static final long REPEAT_INTERVAL_NANOS = 500_000_000;

  private static final int MAX_OWED = 64;

  private final RevisionLog log;
  private final PeerTable peers;
  private final PeerMessenger messenger;
  private final TransferQueue transfers;
  private final Map<String, Peer> owed = new LinkedHashMap<>(); // by name

  NoticeSender(RevisionLog log, PeerTable peers, PeerMessenger messenger, TransferQueue transfers) {
    this.log = log;
    this.peers = peers;
    this.messenger = messenger;
    this.transfers = transfers;
  }

  /** Announces the newest to a member soon, unless it was told within the repeat interval. */
  void enqueue(long nowNanos, Peer peer) {
    enqueue(nowNanos, peer, REPEAT_INTERVAL_NANOS);
  }

  /** Announces the newest to a member soon, unless it was told within that interval. */
  void enqueue(long nowNanos, Peer peer, long intervalNanos) {
    boolean justTold =
        peers
            .find(peer.name())
            .filter(state -> state.announcedNumber == log.newestNumber())
            .filter(state -> nowNanos - state.announcedAtNanos < intervalNanos)
            .isPresent();
    // Who announces a revision has its document: the other will ask for that next.
    boolean documentHeld = log.newest().filter(RevisionLog.Entry::hasDocument).isPresent();
    if (documentHeld && owed.size() < MAX_OWED && !justTold) {
      owed.put(peer.name(), peer);
    }
  }

  /** Announces the newest to a member soon, in any case. */
  void enqueueAlways(Peer peer) {
    owed.put(peer.name(), peer);
  }

  /** Sends what is owed, as far as the budget allows. */
  void flush(long nowNanos) {
    for (Peer peer : List.copyOf(owed.values())) {
      if (!sendNewest(nowNanos, peer)) {
        return;
      }
      owed.remove(peer.name());
    }
  }

  /**
   * Announces the newest to a member now; false where its document is not held, or the budget has
   * no room.
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

  /** Whether the newest document, or the change to it, goes out with the notice. */
  boolean isInline() {
    return log.newest().flatMap(newest -> inlineChunk(newest, null)).isPresent();
  }

  /** Whether others wait for a large document: who hears of it now would come to wait, too. */
  boolean isCongested() {
    return !transfers.isIdle() && !isInline();
  }

  /** The whole change in one chunk, if it fits a packet beside the notice; receiver may be null. */
  private Optional<RevisionMessage> inlineChunk(RevisionLog.Entry newest, PeerState receiver) {
    if (!newest.hasDocument()) {
      return Optional.empty();
    }
    RevisionMessage.Chunk chunk = wholeChange(newest, baseFor(newest, receiver));
    boolean fits =
        chunk.bytes().length <= Chunks.CHUNK_BYTES
            && messenger.fitOnePacket(List.of(newest.notice(), chunk));
    return fits ? Optional.of(chunk) : Optional.empty();
  }

  /** What the receiver has in force; where that is not known, the revision before the newest. */
  private Optional<RevisionLog.Entry> baseFor(RevisionLog.Entry newest, PeerState receiver) {
    return receiver != null && receiver.inForceNumber > 0
        ? log.withDocument(receiver.inForceNumber, receiver.inForceFingerprint)
        : log.newestWithDocumentBelow(newest.number());
  }

  private static RevisionMessage.Chunk wholeChange(
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
