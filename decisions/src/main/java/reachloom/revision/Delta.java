package reachloom.revision;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Binary delta between two documents: the length of their common prefix, the length of their common
 * suffix, and the bytes of the target between these. The delta of a change of one key has a few
 * bytes.
 *
 * <pre>
 * delta = prefixLength:4 suffixLength:4 middle    big-endian
 * </pre>
 */
final class Delta {
  private static final int HEADER_BYTES = 2 * Integer.BYTES;

  private Delta() {}

  /** Encodes the delta from one document to another. */
  static byte[] encode(byte[] base, byte[] target) {
    int shorter = Math.min(base.length, target.length);
    int mismatch = Arrays.mismatch(base, target);
    int prefix = mismatch < 0 ? shorter : mismatch;
    int suffix = 0;
    while (suffix < shorter - prefix
        && base[base.length - 1 - suffix] == target[target.length - 1 - suffix]) {
      suffix++;
    }
    int middle = target.length - prefix - suffix;
    return ByteBuffer.allocate(HEADER_BYTES + middle)
        .putInt(prefix)
        .putInt(suffix)
        .put(target, prefix, middle)
        .array();
  }

  /**
   * Applies a delta to a document; returns null if the delta is malformed, does not fit the base,
   * or would result in a document larger than {@link Revision#MAX_DOCUMENT_BYTES}.
   */
  static byte[] apply(byte[] base, byte[] delta) {
    if (delta.length < HEADER_BYTES) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(delta);
    int prefix = in.getInt();
    int suffix = in.getInt();
    if (prefix < 0
        || suffix < 0
        || prefix > base.length
        || suffix > base.length - prefix
        || prefix + suffix + in.remaining() > Revision.MAX_DOCUMENT_BYTES) {
      return null;
    }
    ByteBuffer out = ByteBuffer.allocate(prefix + in.remaining() + suffix);
    return out.put(base, 0, prefix).put(in).put(base, base.length - suffix, suffix).array();
  }
}
