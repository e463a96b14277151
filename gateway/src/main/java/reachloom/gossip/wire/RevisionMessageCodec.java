package reachloom.gossip.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import reachloom.revision.Ballot;
import reachloom.revision.Revision;
import reachloom.revision.RevisionMessage;
import reachloom.revision.Vote;

/**
 * Words about the configuration as bytes, big-endian:
 *
 * <pre>
 * words    = (length:2 kind:1 bytes)*       kinds not known, and what follows the known fields, are skipped
 * revision = number:8 previous:32 digest:32 size:4 issuedAt:8 issuer:text
 * ballot   = round:8 issuer:text
 * vote     = issuer:text length:1 signature
 * </pre>
 */
final class RevisionMessageCodec {
  private static final int HEAD = 2 + 1;
  private static final int FIXED =
      Long.BYTES + 2 * Revision.HASH_BYTES + Integer.BYTES + Long.BYTES;
  private static final int MAX_VOTES = 9;
  private static final int MAX_LACKING = 32;

  private RevisionMessageCodec() {}

  /** One word's bytes. */
  static int size(RevisionMessage w) {
    return HEAD + body(w);
  }

  private static int body(RevisionMessage w) {
    if (w instanceof RevisionMessage.Have) {
      return 3 * Long.BYTES;
    } else if (w instanceof RevisionMessage.Notice n) {
      return size(n.revision()) + 1 + n.votes().stream().mapToInt(RevisionMessageCodec::size).sum();
    } else if (w instanceof RevisionMessage.Want) {
      return 3 * Long.BYTES + Short.BYTES;
    } else if (w instanceof RevisionMessage.Piece p) {
      return 2 * Long.BYTES + 2 * Short.BYTES + Short.BYTES + p.bytes().length;
    } else if (w instanceof RevisionMessage.Acknowledgement a) {
      return 2 * Long.BYTES + GossipCodec.text(a.refusal());
    } else if (w instanceof RevisionMessage.Census c) {
      return Short.BYTES
          + Long.BYTES
          + 3 * Short.BYTES
          + Integer.BYTES
          + 1
          + c.lacking().stream().mapToInt(GossipCodec::text).sum();
    } else if (w instanceof RevisionMessage.Prepare p) {
      return size(p.ballot()) + Long.BYTES;
    } else if (w instanceof RevisionMessage.Promise p) {
      return size(p.ballot())
          + Long.BYTES
          + size(p.acceptedUnder())
          + 1
          + p.accepted().map(RevisionMessageCodec::size).orElse(0);
    } else if (w instanceof RevisionMessage.Propose p) {
      return size(p.ballot()) + size(p.revision());
    } else if (w instanceof RevisionMessage.Accepted a) {
      return size(a.ballot()) + Long.BYTES + size(a.vote());
    } else if (w instanceof RevisionMessage.Rejected r) {
      return size(r.ballot()) + size(r.promised());
    }
    throw new IllegalArgumentException("a word without a form: " + w);
  }

  private static int size(Revision r) {
    return FIXED + GossipCodec.text(r.issuer());
  }

  private static int size(Vote v) {
    return GossipCodec.text(v.issuer()) + 1 + v.signature().length;
  }

  private static int size(Ballot b) {
    return Long.BYTES + GossipCodec.text(b.issuer());
  }

  // ---- Out ----

  static void put(ByteBuffer out, RevisionMessage w) {
    out.putShort((short) (size(w) - Short.BYTES));
    if (w instanceof RevisionMessage.Have h) {
      out.put((byte) 1).putLong(h.inForce()).putLong(h.mark()).putLong(h.known());
    } else if (w instanceof RevisionMessage.Notice n) {
      put(out.put((byte) 2), n.revision());
      out.put((byte) n.votes().size());
      n.votes().forEach(v -> put(out, v));
    } else if (w instanceof RevisionMessage.Want q) {
      out.put((byte) 3)
          .putLong(q.number())
          .putLong(q.base())
          .putLong(q.baseMark())
          .putShort((short) q.from());
    } else if (w instanceof RevisionMessage.Piece p) {
      out.put((byte) 4)
          .putLong(p.number())
          .putLong(p.base())
          .putShort((short) p.index())
          .putShort((short) p.of())
          .putShort((short) p.bytes().length)
          .put(p.bytes());
    } else if (w instanceof RevisionMessage.Acknowledgement a) {
      GossipCodec.put(out.put((byte) 5).putLong(a.number()).putLong(a.mark()), a.refusal());
    } else if (w instanceof RevisionMessage.Census c) {
      out.put((byte) 6)
          .putShort((short) c.place())
          .putLong(c.number())
          .putShort((short) c.members())
          .putShort((short) c.inForce())
          .putShort((short) c.refused())
          .putInt((int) Math.min(Integer.MAX_VALUE, c.longest()))
          .put((byte) c.lacking().size());
      c.lacking().forEach(name -> GossipCodec.put(out, name));
    } else if (w instanceof RevisionMessage.Prepare p) {
      put(out.put((byte) 7), p.ballot());
      out.putLong(p.number());
    } else if (w instanceof RevisionMessage.Promise p) {
      put(out.put((byte) 8), p.ballot());
      put(out.putLong(p.number()), p.acceptedUnder());
      out.put((byte) (p.accepted().isPresent() ? 1 : 0));
      p.accepted().ifPresent(accepted -> put(out, accepted));
    } else if (w instanceof RevisionMessage.Propose p) {
      put(out.put((byte) 9), p.ballot());
      put(out, p.revision());
    } else if (w instanceof RevisionMessage.Accepted a) {
      put(out.put((byte) 10), a.ballot());
      put(out.putLong(a.number()), a.vote());
    } else if (w instanceof RevisionMessage.Rejected r) {
      put(out.put((byte) 11), r.ballot());
      put(out, r.promised());
    }
  }

  private static void put(ByteBuffer out, Revision r) {
    out.putLong(r.number())
        .put(r.previous())
        .put(r.digest())
        .putInt(r.size())
        .putLong(r.issuedAt());
    GossipCodec.put(out, r.issuer());
  }

  private static void put(ByteBuffer out, Vote v) {
    GossipCodec.put(out, v.issuer());
    out.put((byte) v.signature().length).put(v.signature());
  }

  private static void put(ByteBuffer out, Ballot b) {
    GossipCodec.put(out.putLong(b.round()), b.issuer());
  }

  // ---- In ----

  /** Reads all words that stand there; what can't be read throws as the rest of a datagram does. */
  static List<RevisionMessage> words(ByteBuffer in) {
    List<RevisionMessage> read = new ArrayList<>();
    while (in.hasRemaining()) {
      RevisionMessage w = word(GossipCodec.take(in, Short.toUnsignedInt(in.getShort())));
      if (w != null) {
        read.add(w);
      }
    }
    return read;
  }

  private static RevisionMessage word(ByteBuffer in) {
    return switch (in.get()) {
      case 1 -> new RevisionMessage.Have(number(in), in.getLong(), number(in));
      case 2 -> new RevisionMessage.Notice(revision(in), votes(in));
      case 3 ->
          new RevisionMessage.Want(
              number(in), number(in), in.getLong(), Short.toUnsignedInt(in.getShort()));
      case 4 ->
          new RevisionMessage.Piece(
              number(in),
              number(in),
              Short.toUnsignedInt(in.getShort()),
              Short.toUnsignedInt(in.getShort()),
              bytes(in, Short.toUnsignedInt(in.getShort())));
      case 5 -> new RevisionMessage.Acknowledgement(number(in), in.getLong(), plain(in));
      case 6 -> census(in);
      case 7 -> new RevisionMessage.Prepare(ballot(in), number(in));
      case 8 ->
          new RevisionMessage.Promise(
              ballot(in),
              number(in),
              ballot(in),
              in.get() == 0 ? Optional.empty() : Optional.of(revision(in)));
      case 9 -> new RevisionMessage.Propose(ballot(in), revision(in));
      case 10 -> new RevisionMessage.Accepted(ballot(in), number(in), vote(in));
      case 11 -> new RevisionMessage.Rejected(ballot(in), ballot(in));
      default -> null; // of a later version
    };
  }

  private static long number(ByteBuffer in) {
    long n = in.getLong();
    if (n < 0) {
      throw new BufferUnderflowException();
    }
    return n;
  }

  private static byte[] bytes(ByteBuffer in, int length) {
    if (length > in.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] read = new byte[length];
    in.get(read);
    return read;
  }

  private static Revision revision(ByteBuffer in) {
    Revision r =
        new Revision(
            number(in),
            bytes(in, Revision.HASH_BYTES),
            bytes(in, Revision.HASH_BYTES),
            in.getInt(),
            in.getLong(),
            GossipCodec.name(in));
    if (r.size() < 0 || r.size() > Revision.MAX_DOCUMENT_BYTES) {
      throw new BufferUnderflowException();
    }
    return r;
  }

  private static List<Vote> votes(ByteBuffer in) {
    int count = Byte.toUnsignedInt(in.get());
    if (count > MAX_VOTES) {
      throw new BufferUnderflowException();
    }
    List<Vote> read = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      read.add(vote(in));
    }
    return read;
  }

  private static Vote vote(ByteBuffer in) {
    return new Vote(GossipCodec.name(in), bytes(in, Byte.toUnsignedInt(in.get())));
  }

  private static Ballot ballot(ByteBuffer in) {
    return new Ballot(number(in), GossipCodec.name(in));
  }

  /** What is told to people: printable ASCII, whatever came. */
  private static String plain(ByteBuffer in) {
    return GossipCodec.text(in).replaceAll("[^\\x20-\\x7e]", "?");
  }

  private static RevisionMessage.Census census(ByteBuffer in) {
    int place = Short.toUnsignedInt(in.getShort());
    long number = number(in);
    int members = Short.toUnsignedInt(in.getShort());
    int inForce = Short.toUnsignedInt(in.getShort());
    int refused = Short.toUnsignedInt(in.getShort());
    long longest = Integer.toUnsignedLong(in.getInt());
    int count = Byte.toUnsignedInt(in.get());
    if (count > MAX_LACKING) {
      throw new BufferUnderflowException();
    }
    List<String> lacking = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      lacking.add(GossipCodec.name(in));
    }
    return new RevisionMessage.Census(place, number, members, inForce, refused, lacking, longest);
  }
}
