package reachloom.revision;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * What turns one document into another: the bytes in the middle, between as many at the start and
 * at the end as both have in common. A change of one key of a patch is a few bytes.
 */
final class Delta {
  private static final int HEAD = 2 * Integer.BYTES;

  private Delta() {}

  /** The delta from one document to another. */
  static byte[] encode(byte[] base, byte[] target) {
    int shorter = Math.min(base.length, target.length);
    int start = Arrays.mismatch(base, target);
    start = start < 0 ? shorter : start;
    int end = 0;
    while (end < shorter - start
        && base[base.length - 1 - end] == target[target.length - 1 - end]) {
      end++;
    }
    int middle = target.length - start - end;
    return ByteBuffer.allocate(HEAD + middle)
        .putInt(start)
        .putInt(end)
        .put(target, start, middle)
        .array();
  }

  /**
   * The document that a delta makes of another; null where it can't be one, or makes one too large.
   */
  static byte[] apply(byte[] base, byte[] delta) {
    if (delta.length < HEAD) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(delta);
    int start = in.getInt();
    int end = in.getInt();
    if (start < 0
        || end < 0
        || start > base.length
        || end > base.length - start
        || start + end + in.remaining() > Revision.MAX_DOCUMENT_BYTES) {
      return null;
    }
    ByteBuffer out = ByteBuffer.allocate(start + in.remaining() + end);
    return out.put(base, 0, start).put(in).put(base, base.length - end, end).array();
  }
}
