package reachloom.gossip.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import reachloom.gossip.Packet;
import reachloom.gossip.RejectionReason;
import reachloom.membership.MemberState;
import reachloom.membership.MembershipMessage;
import reachloom.membership.MembershipUpdate;
import reachloom.peerreport.PeerReport;
import reachloom.revision.RevisionMessage;

/**
 * Gossip as bytes, big-endian, at most {@link #MOST} of them:
 *
 * <pre>
 * datagram = "RG" version:1 flags:1 cluster:4 sender:text seq:8 time:8 address:6 incarnation:8 knows:4
 *            [certificate: length:2 bytes]  section*  signature:64
 * section  = kind:1 length:2 bytes          kind 1 message, 2 news, 3 claims, 4 words ({@link RevisionMessageCodec}),
 *                                           5 the sender's place; others are skipped. 4 and 5 only where used
 * news, claims = (length:1 bytes)*          what follows the known fields of one is skipped
 * text     = length:1 UTF-8
 * </pre>
 *
 * <p>The signature is over all that stands before it. A version differs where old readers can't go
 * on; whatever can be skipped comes without one.
 */
public final class GossipCodec {
  /** The largest datagram, in bytes. */
  public static final int MOST = 1_200;

  /** Bytes of an Ed25519 signature (RFC 8032). */
  public static final int SIGNATURE = 64;

  /** Bytes of IPv4 and UDP headers, which count as traffic too. */
  public static final int UDP = 28;

  private static final int VERSION = 1;
  private static final int CERTIFIED = 1;
  private static final int MAGIC = 'R' << 8 | 'G';
  private static final int FIXED = 2 + 1 + 1 + 4 + 8 + 8 + 6 + 8 + 4;
  private static final int SECTION = 3;
  private static final byte MESSAGE = 1;
  private static final byte NEWS = 2;
  private static final byte CLAIMS = 3;
  private static final byte WORDS = 4;
  private static final byte PLACE = 5;
  private static final int MAX_NAME = 32;
  private static final int MAX_COUNT = 0xffff;
  private static final long MILLISECOND = 1_000_000; // nanoseconds

  /** Bytes that can't be read, with the reason as it is counted. */
  public static final class UnreadableException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient RejectionReason why;

    UnreadableException(RejectionReason why) {
      super(why.name(), null, false, false); // a value, not a place in the program
      this.why = why;
    }

    public RejectionReason why() {
      return why;
    }
  }

  private GossipCodec() {}

  /** The number that stands for a cluster's name on the wire. */
  public static int cluster(String name) {
    CRC32C sum = new CRC32C();
    sum.update(name.getBytes(StandardCharsets.UTF_8));
    return (int) sum.getValue();
  }

  /**
   * The number that stands for a certificate, never 0; which one of a member's is held tells it
   * what to send.
   */
  public static int mark(byte[] certificate) {
    CRC32C sum = new CRC32C();
    sum.update(certificate);
    return (int) sum.getValue() | 1;
  }

  // ---- Weights ----

  /**
   * A datagram with that message and nothing else; {@code certificate} is the length of one brought
   * along.
   */
  public static int size(String sender, MembershipMessage message, int certificate) {
    return UDP
        + FIXED
        + text(sender)
        + (certificate > 0 ? 2 + certificate : 0)
        + SECTION
        + body(message)
        + 2 * SECTION
        + SIGNATURE;
  }

  private static int body(MembershipMessage m) {
    if (m instanceof MembershipMessage.Ping p) {
      return 9 + text(p.target());
    } else if (m instanceof MembershipMessage.PingRequest r) {
      return 9 + text(r.target()) + 6;
    } else if (m instanceof MembershipMessage.SyncRequest p) {
      return 1 + text(p.afterName()) + text(p.lastName()) + 4 + 2 * p.digests().size();
    } else if (m instanceof MembershipMessage.SyncResponse p) {
      return 2 + p.updates().stream().mapToInt(GossipCodec::size).sum();
    }
    if (m instanceof MembershipMessage.StatusPage s) {
      return 1 + 4 + 2 + s.text().length();
    } else if (m instanceof MembershipMessage.StatusRequest) {
      return 3;
    }
    return m instanceof MembershipMessage.Leave || m instanceof MembershipMessage.PayloadOnly
        ? 1
        : 9;
  }

  /** One piece of news. */
  public static int size(MembershipUpdate n) {
    return 1
        + text(n.member())
        + 6
        + 8
        + 1
        + text(n.accuser())
        + (n.place() == 0 ? 0 : Short.BYTES);
  }

  /** One claim. */
  public static int size(PeerReport c) {
    return 1 + text(c.engine()) + 8 + 6 + 4;
  }

  /** One word about the configuration. */
  public static int size(RevisionMessage w) {
    return RevisionMessageCodec.size(w);
  }

  /** What a place and words add to a datagram. */
  public static int riding(int place, List<RevisionMessage> words) {
    return (place == 0 ? 0 : SECTION + Short.BYTES)
        + (words.isEmpty()
            ? 0
            : SECTION + words.stream().mapToInt(RevisionMessageCodec::size).sum());
  }

  static int text(String text) {
    return 1 + text.getBytes(StandardCharsets.UTF_8).length;
  }

  // ---- Out ----

  /**
   * All that is signed; {@code certificate} null brings none, and {@code knowsYou} tells the
   * receiver that its own is held here.
   */
  public static byte[] write(
      int cluster, Packet p, long seq, long time, byte[] certificate, int knows) {
    ByteBuffer out = ByteBuffer.allocate(2 * MOST);
    out.putShort((short) MAGIC)
        .put((byte) VERSION)
        .put((byte) (certificate == null ? 0 : CERTIFIED));
    out.putInt(cluster);
    put(out, p.sender());
    out.putLong(seq).putLong(time);
    putAddress(out, p.address());
    out.putLong(p.incarnation()).putInt(knows);
    if (certificate != null) {
      out.putShort((short) certificate.length).put(certificate);
    }
    int at = begin(out, MESSAGE);
    putMessage(out, p.message());
    end(out, at);
    at = begin(out, NEWS);
    p.updates().forEach(n -> putNews(out, n));
    end(out, at);
    at = begin(out, CLAIMS);
    p.reports().forEach(c -> putClaim(out, c));
    end(out, at);
    if (!p.revisionMessages().isEmpty()) {
      at = begin(out, WORDS);
      p.revisionMessages().forEach(w -> RevisionMessageCodec.put(out, w));
      end(out, at);
    }
    if (p.place() != 0) {
      at = begin(out, PLACE);
      out.putShort((short) p.place());
      end(out, at);
    }
    return Arrays.copyOf(out.array(), out.position());
  }

  private static int begin(ByteBuffer out, byte kind) {
    out.put(kind).putShort((short) 0);
    return out.position();
  }

  private static void end(ByteBuffer out, int from) {
    out.putShort(from - 2, (short) (out.position() - from));
  }

  static void put(ByteBuffer out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.put((byte) bytes.length).put(bytes);
  }

  private static void putAddress(ByteBuffer out, long address) {
    out.putShort((short) (address >>> 32)).putInt((int) address);
  }

  private static void putMessage(ByteBuffer out, MembershipMessage m) {
    if (m instanceof MembershipMessage.Ping p) {
      put(out.put((byte) 1).putLong(p.sequenceNumber()), p.target());
    } else if (m instanceof MembershipMessage.Ack a) {
      out.put((byte) 2).putLong(a.sequenceNumber());
    } else if (m instanceof MembershipMessage.PingRequest r) {
      put(out.put((byte) 3).putLong(r.sequenceNumber()), r.target());
      putAddress(out, r.targetAddress());
    } else if (m instanceof MembershipMessage.Nack n) {
      out.put((byte) 4).putLong(n.sequenceNumber());
    } else if (m instanceof MembershipMessage.SyncRequest p) {
      put(out.put((byte) 5), p.afterName());
      put(out, p.lastName());
      out.putInt(p.salt());
      p.digests().forEach(k -> out.putShort(k.shortValue()));
    } else if (m instanceof MembershipMessage.SyncResponse p) {
      out.put((byte) 6).put((byte) (p.truncated() ? 1 : 0));
      p.updates().forEach(n -> putNews(out, n));
    } else if (m instanceof MembershipMessage.Leave) {
      out.put((byte) 7);
    } else if (m instanceof MembershipMessage.PayloadOnly) {
      out.put((byte) 8);
    } else if (m instanceof MembershipMessage.StatusRequest s) {
      out.put((byte) 9).putShort((short) s.page());
    } else if (m instanceof MembershipMessage.StatusPage s) {
      byte[] text = s.text().getBytes(StandardCharsets.US_ASCII);
      out.put((byte) 10)
          .putShort((short) s.page())
          .putShort((short) s.pageCount())
          .putShort((short) text.length)
          .put(text);
    }
  }

  private static void putNews(ByteBuffer out, MembershipUpdate n) {
    out.put((byte) (size(n) - 1));
    put(out, n.member());
    putAddress(out, n.address());
    out.putLong(n.incarnation()).put((byte) n.state().ordinal());
    put(out, n.accuser());
    if (n.place() != 0) {
      out.putShort((short) n.place());
    }
  }

  private static void putClaim(ByteBuffer out, PeerReport c) {
    out.put((byte) (size(c) - 1));
    put(out, c.engine());
    out.putLong(c.incarnation())
        .putShort(count(c.served()))
        .putShort(count(c.failed()))
        .putShort(count(c.timedOut()))
        .putInt((int) Math.min(Integer.MAX_VALUE, c.ageNanos() / MILLISECOND));
  }

  private static short count(int value) {
    return (short) Math.min(MAX_COUNT, value);
  }

  // ---- In ----

  /** Reads what stands before the content: nothing of it is proved yet. */
  public static DatagramHeader head(byte[] bytes) throws UnreadableException {
    if (bytes.length > MOST || bytes.length < FIXED + 2 + SIGNATURE) {
      throw new UnreadableException(RejectionReason.FORM);
    }
    try {
      ByteBuffer in = ByteBuffer.wrap(bytes, 0, bytes.length - SIGNATURE);
      if (in.getShort() != (short) MAGIC) {
        throw new UnreadableException(RejectionReason.FORM);
      }
      if (in.get() != VERSION) {
        throw new UnreadableException(RejectionReason.VERSION);
      }
      int flags = in.get();
      int cluster = in.getInt();
      String sender = name(in);
      long seq = in.getLong();
      long time = in.getLong();
      long address = address(in);
      long incarnation = in.getLong();
      int knows = in.getInt();
      byte[] certificate = null;
      if ((flags & CERTIFIED) != 0) {
        certificate = new byte[Short.toUnsignedInt(in.getShort())];
        in.get(certificate);
      }
      if (sender.isEmpty()) {
        throw new UnreadableException(RejectionReason.FORM);
      }
      return new DatagramHeader(
          cluster,
          sender,
          seq,
          time,
          address,
          incarnation,
          certificate,
          knows,
          in.position(),
          in.limit());
    } catch (BufferUnderflowException e) {
      throw new UnreadableException(RejectionReason.FORM);
    }
  }

  /**
   * Reads the content, once the signature holds: what can't be read then is nonsense, whoever
   * signed it.
   */
  public static Packet read(byte[] bytes, DatagramHeader head) throws UnreadableException {
    try {
      ByteBuffer in = ByteBuffer.wrap(bytes, head.content(), head.end() - head.content());
      MembershipMessage message = null;
      List<MembershipUpdate> news = new ArrayList<>();
      List<PeerReport> claims = new ArrayList<>();
      List<RevisionMessage> words = new ArrayList<>();
      int place = 0;
      while (in.hasRemaining()) {
        byte kind = in.get();
        ByteBuffer section = take(in, Short.toUnsignedInt(in.getShort()));
        switch (kind) {
          case MESSAGE -> message = message(section);
          case NEWS -> news.addAll(news(section));
          case CLAIMS -> claims.addAll(claims(section));
          case WORDS -> words.addAll(RevisionMessageCodec.words(section));
          case PLACE -> place = Short.toUnsignedInt(section.getShort());
          default -> {} // of a later version
        }
      }
      if (message == null) {
        throw new UnreadableException(RejectionReason.NONSENSE);
      }
      return new Packet(
          head.sender(), head.address(), place, head.incarnation(), message, news, claims, words);
    } catch (BufferUnderflowException | IllegalArgumentException e) {
      throw new UnreadableException(RejectionReason.NONSENSE);
    }
  }

  static ByteBuffer take(ByteBuffer in, int length) {
    if (length > in.remaining()) {
      throw new BufferUnderflowException();
    }
    ByteBuffer part = in.slice(in.position(), length);
    in.position(in.position() + length);
    return part;
  }

  private static String shortText(ByteBuffer in) {
    if (!in.hasRemaining() || Byte.toUnsignedInt(in.get(in.position())) > MAX_NAME) {
      throw new BufferUnderflowException();
    }
    return text(in);
  }

  /** A text of up to 255 bytes. */
  static String text(ByteBuffer in) {
    int length = Byte.toUnsignedInt(in.get());
    if (length > in.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] bytes = new byte[length];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** A name goes into tables and log lines: printable ASCII without blanks, or it is no name. */
  static String name(ByteBuffer in) {
    String name = shortText(in);
    if (!name.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
      throw new BufferUnderflowException();
    }
    return name;
  }

  private static long address(ByteBuffer in) {
    long high = Short.toUnsignedLong(in.getShort());
    return high << 32 | Integer.toUnsignedLong(in.getInt());
  }

  private static MembershipMessage message(ByteBuffer in) throws UnreadableException {
    return switch (in.get()) {
      case 1 -> new MembershipMessage.Ping(in.getLong(), name(in));
      case 2 -> new MembershipMessage.Ack(in.getLong());
      case 3 -> new MembershipMessage.PingRequest(in.getLong(), name(in), address(in));
      case 4 -> new MembershipMessage.Nack(in.getLong());
      case 5 -> new MembershipMessage.SyncRequest(name(in), name(in), in.getInt(), marks(in));
      case 6 -> new MembershipMessage.SyncResponse(in.get() != 0, news(in));
      case 7 -> new MembershipMessage.Leave();
      case 8 -> new MembershipMessage.PayloadOnly();
      case 9 -> new MembershipMessage.StatusRequest(Short.toUnsignedInt(in.getShort()));
      case 10 -> page(in);
      default -> throw new UnreadableException(RejectionReason.NONSENSE);
    };
  }

  private static MembershipMessage.StatusPage page(ByteBuffer in) {
    int number = Short.toUnsignedInt(in.getShort());
    int pages = Short.toUnsignedInt(in.getShort());
    byte[] text = new byte[Short.toUnsignedInt(in.getShort())];
    in.get(text);
    // It goes to a terminal: nothing but printable ASCII and line ends.
    return new MembershipMessage.StatusPage(
        number,
        pages,
        new String(text, StandardCharsets.US_ASCII).replaceAll("[^\\x20-\\x7e\n]", "?"));
  }

  private static List<Integer> marks(ByteBuffer in) {
    List<Integer> read = new ArrayList<>();
    while (in.hasRemaining()) {
      read.add(Short.toUnsignedInt(in.getShort()));
    }
    return read;
  }

  private static List<MembershipUpdate> news(ByteBuffer in) {
    List<MembershipUpdate> read = new ArrayList<>();
    MemberState[] states = MemberState.values();
    while (in.hasRemaining()) {
      ByteBuffer one = take(in, Byte.toUnsignedInt(in.get()));
      String member = name(one);
      long at = address(one);
      long incarnation = one.getLong();
      int state = one.get();
      String by = name(one);
      int place = one.remaining() < Short.BYTES ? 0 : Short.toUnsignedInt(one.getShort());
      if (state >= 0 && state < states.length && !member.isEmpty() && incarnation >= 0) {
        read.add(new MembershipUpdate(member, at, incarnation, states[state], by, place));
      }
    }
    return read;
  }

  private static List<PeerReport> claims(ByteBuffer in) {
    List<PeerReport> read = new ArrayList<>();
    while (in.hasRemaining()) {
      ByteBuffer one = take(in, Byte.toUnsignedInt(in.get()));
      read.add(
          new PeerReport(
              name(one),
              one.getLong(),
              Short.toUnsignedInt(one.getShort()),
              Short.toUnsignedInt(one.getShort()),
              Short.toUnsignedInt(one.getShort()),
              Integer.toUnsignedLong(one.getInt()) * MILLISECOND));
    }
    return read;
  }
}
