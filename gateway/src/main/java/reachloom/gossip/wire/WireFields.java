package reachloom.gossip.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads and writes the basic fields of datagrams: texts, names, socket addresses and slices, all
 * big-endian.
 *
 * <p>Readers throw {@link BufferUnderflowException} for fields that are truncated or invalid;
 * {@link GossipCodec} turns that into a rejection reason. Stateless and thread-safe.
 */
final class WireFields {
  /** Longest name of a member, an engine or an issuer, in bytes. */
  static final int MAX_NAME_BYTES = 32;

  /** Bytes of an IPv4 address and a port. */
  static final int ADDRESS_BYTES = Integer.BYTES + Short.BYTES;

  private WireFields() {}

  /** Returns the number of bytes that {@link #putText} writes: one for the length, then UTF-8. */
  static int textSize(String text) {
    return 1 + text.getBytes(StandardCharsets.UTF_8).length;
  }

  /** Writes the length of a text, which is at most 255 bytes of UTF-8, and then the text. */
  static void putText(ByteBuffer out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.put((byte) bytes.length).put(bytes);
  }

  /** Reads a text of at most 255 bytes; its characters are not checked. */
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
   * Reads a name, which may be empty. Names appear in tables and log lines, so only printable ASCII
   * without spaces is accepted, and at most {@link #MAX_NAME_BYTES} of it.
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

  /** Reads an address in the form that {@link #putAddress} writes. */
  static long readAddress(ByteBuffer in) {
    long high = Short.toUnsignedLong(in.getShort());
    return high << Integer.SIZE | Integer.toUnsignedLong(in.getInt());
  }

  /** Returns the next {@code length} bytes as a buffer of their own and advances past them. */
  static ByteBuffer slice(ByteBuffer in, int length) {
    if (length > in.remaining()) {
      throw new BufferUnderflowException();
    }
    ByteBuffer slice = in.slice(in.position(), length);
    in.position(in.position() + length);
    return slice;
  }
}
