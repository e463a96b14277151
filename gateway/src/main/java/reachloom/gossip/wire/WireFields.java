package reachloom.gossip.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The fields that every part of a datagram is made of: texts, names, socket addresses and slices,
 * all big-endian.
 *
 * <p>Readers throw {@link BufferUnderflowException} for whatever can't be read, be it torn or not
 * allowed; {@link GossipCodec} turns that into a reason for rejection. No state, any thread.
 */
final class WireFields {
  /** Longest name of a member, an engine or an issuer, in bytes. */
  static final int MAX_NAME_BYTES = 32;

  /** Bytes of an IPv4 address and a port. */
  static final int ADDRESS_BYTES = Integer.BYTES + Short.BYTES;

  private WireFields() {}

  /** Returns the bytes that {@link #putText} writes: one of length, then UTF-8. */
  static int textSize(String text) {
    return 1 + text.getBytes(StandardCharsets.UTF_8).length;
  }

  /** Writes a text of at most 255 bytes of UTF-8 behind its length. */
  static void putText(ByteBuffer out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.put((byte) bytes.length).put(bytes);
  }

  /** Reads a text of at most 255 bytes; what it holds is not checked. */
  static String readText(ByteBuffer in) {
    int length = Byte.toUnsignedInt(in.get());
    if (length > in.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] bytes = new byte[length];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /**
   * Reads a name, possibly empty. Names go into tables and log lines, so nothing but printable
   * ASCII without blanks passes, and at most {@link #MAX_NAME_BYTES} of it.
   */
  static String readName(ByteBuffer in) {
    if (!in.hasRemaining() || Byte.toUnsignedInt(in.get(in.position())) > MAX_NAME_BYTES) {
      throw new BufferUnderflowException();
    }
    String name = readText(in);
    if (!name.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
      throw new BufferUnderflowException();
    }
    return name;
  }

  /** Writes an IPv4 address and a port, packed into the lowest 48 bits of {@code address}. */
  static void putAddress(ByteBuffer out, long address) {
    out.putShort((short) (address >>> Integer.SIZE)).putInt((int) address);
  }

  /** Reads what {@link #putAddress} wrote. */
  static long readAddress(ByteBuffer in) {
    long high = Short.toUnsignedLong(in.getShort());
    return high << Integer.SIZE | Integer.toUnsignedLong(in.getInt());
  }

  /** Takes the next {@code length} bytes as a buffer of their own, and moves on behind them. */
  static ByteBuffer slice(ByteBuffer in, int length) {
    if (length > in.remaining()) {
      throw new BufferUnderflowException();
    }
    ByteBuffer slice = in.slice(in.position(), length);
    in.position(in.position() + length);
    return slice;
  }
}
