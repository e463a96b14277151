package reachloom.revision;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/** A document that is being pulled, piece by piece, from one peer at a time. */
final class ChunkedFetch {
  /**
   * Bytes of a piece: as many as one packet has room for beside a certificate and the longest
   * names.
   */
  static final int PIECE = 640;

  /** Pieces sent for one question: a document of the usual size takes one or two round trips. */
  static final int WINDOW = 6;

  private static final int MAX_PIECES = pieces(Revision.MAX_DOCUMENT_BYTES);
  private static final long ANSWER =
      400_000_000; // nanoseconds without a piece before it is asked again
  // ... and more for the first of a large document: who serves it finishes others before
  private static final long FIRST_OF_LARGEST = 1_000_000_000;
  private static final long LATE_PIECE =
      30_000_000; // for those that the last of a window has overtaken
  private static final long AT_MOST = 6_000_000_000L; // with one peer, whatever it sends

  final Revision revision;
  final long mark;

  /** Who waits for a draft; null for a revision that is proved. */
  final Consumer<Optional<byte[]>> then;

  final long startedAt;
  Peer from;

  /** When the question that is out is taken for lost; 0 where none is out. */
  long until;

  long leaveAt;
  int tries;
  int peersTried;
  private RevisionLog.Entry base;
  private int of;
  private long ofBase;
  private int windowEnd;
  private byte[][] pieces = new byte[0][];
  private final Set<String> sources = new TreeSet<>();
  private boolean onePeerOnly;
  private boolean deltaFailed;

  ChunkedFetch(Revision revision, Consumer<Optional<byte[]>> then, long now) {
    this.revision = revision;
    this.mark = revision.mark();
    this.then = then;
    startedAt = now;
  }

  static int pieces(int bytes) {
    return Math.max(1, (bytes + PIECE - 1) / PIECE);
  }

  /** Goes on with that peer; what has come from others stays, as long as it has not led astray. */
  void ask(long now, Peer peer) {
    if (onePeerOnly) {
      clear();
    }
    from = peer;
    tries = 0;
    peersTried++;
    until = 0;
    leaveAt = now + AT_MOST;
  }

  /**
   * Asks where nothing is on its way; {@code held} is the newest whose document is here, or null.
   */
  void question(long now, RevisionMessageSender outlet, RevisionLog.Entry held) {
    if ((until == 0 || late(now))
        && outlet.send(now, from.name(), from.address(), List.of(want(held)))) {
      asked(now);
    }
  }

  private RevisionMessage.Want want(RevisionLog.Entry held) {
    if (first() == 0) {
      base = deltaFailed || then != null ? null : held;
    }
    boolean whole = base == null || first() > 0 && ofBase == 0;
    return new RevisionMessage.Want(
        revision.number(),
        whole ? 0 : base.revision().number(),
        whole ? mark : base.mark(),
        first());
  }

  private void asked(long now) {
    tries++;
    windowEnd = first() + WINDOW - 1;
    long first = first() > 0 ? 0 : FIRST_OF_LARGEST * revision.size() / Revision.MAX_DOCUMENT_BYTES;
    until = now + ANSWER + first;
  }

  /** The first piece that is not here. */
  private int first() {
    for (int i = 0; i < pieces.length; i++) {
      if (pieces[i] == null) {
        return i;
      }
    }
    return pieces.length;
  }

  private void clear() {
    pieces = new byte[0][];
    sources.clear();
    base = null;
  }

  /**
   * Takes a piece; gives the whole document if that completes it. Who sent what is not it is
   * struck.
   */
  byte[] take(
      long now, Peer sender, RevisionMessage.Piece p, RevisionLog log, PeerTable neighbours) {
    RevisionLog.Entry held = p.base() == 0 ? null : log.held(p.base(), 0);
    if (!take(now, sender.name(), p, held) || first() < pieces.length) {
      return null;
    }
    byte[] document = document();
    if (document == null) {
      String liar = liar();
      if (liar != null) {
        neighbours.strike(now, liar, PeerTable.Strike.LIED, 0);
      }
      from = then == null ? null : from; // a draft is had from its proposer alone
    }
    return document;
  }

  private boolean take(
      long now, String sender, RevisionMessage.Piece p, RevisionLog.Entry baseHeld) {
    boolean fits =
        p.number() == revision.number()
            && p.of() >= 1
            && p.of() <= MAX_PIECES
            && p.index() >= 0
            && p.index() < p.of()
            && p.bytes().length <= PIECE
            && (p.index() == p.of() - 1 || p.bytes().length > 0)
            && (p.base() == 0
                ? p.of() == pieces(revision.size())
                : baseHeld != null && !deltaFailed);
    boolean fromPeer = from != null && sender.equals(from.name());
    boolean other = pieces.length == 0 || p.of() != of || p.base() != ofBase;
    if (!fits || other && !fromPeer && pieces.length > 0 || onePeerOnly && !fromPeer) {
      return false;
    }
    if (other) {
      clear();
      pieces = new byte[p.of()][];
      of = p.of();
      ofBase = p.base();
    }
    base = p.base() == 0 ? base : baseHeld;
    if (pieces[p.index()] != null) {
      return false;
    }
    pieces[p.index()] = p.bytes();
    sources.add(sender);
    if (fromPeer && until != 0) {
      tries = 0;
      boolean last = p.index() >= windowEnd || p.index() == p.of() - 1;
      until = first() > windowEnd ? 0 : now + (last ? LATE_PIECE : ANSWER);
    }
    return true;
  }

  boolean isEmpty() {
    return pieces.length == 0;
  }

  /**
   * The document, or null where what has come is not it; who is to blame then is in {@link #liar}.
   */
  private byte[] document() {
    ByteBuffer all = ByteBuffer.allocate(Arrays.stream(pieces).mapToInt(p -> p.length).sum());
    Arrays.stream(pieces).forEach(all::put);
    byte[] document = ofBase == 0 ? all.array() : Delta.apply(base.document(), all.array());
    return document != null && revision.describes(document) ? document : null;
  }

  /** What came is not the document: it starts anew; the only one who sent of it, or null. */
  private String liar() {
    String liar = sources.size() == 1 ? sources.iterator().next() : null;
    onePeerOnly = liar == null; // pieces of several don't tell who was wrong
    deltaFailed |= ofBase != 0;
    clear();
    until = 0;
    return liar;
  }

  boolean late(long now) {
    return until != 0 && now >= until;
  }

  void shift(long by) {
    until += until == 0 ? 0 : by;
    leaveAt += by;
  }

  /** One piece of what is sent. */
  static byte[] piece(byte[] bytes, int index) {
    return Arrays.copyOfRange(bytes, index * PIECE, Math.min(bytes.length, (index + 1) * PIECE));
  }
}
