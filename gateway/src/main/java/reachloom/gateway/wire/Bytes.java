package reachloom.gateway.wire;

import java.nio.charset.StandardCharsets;

/**
 * A range of a byte array. The array is shared, not copied.
 *
 * @param from the index of the first byte
 * @param length the number of bytes
 */
public record Bytes(byte[] array, int from, int length) {
  /** Returns the range of an entire array. */
  public static Bytes of(byte[] array) {
    return new Bytes(array, 0, array.length);
  }

  /** Decodes the bytes as UTF-8. */
  public String text() {
    return new String(array, from, length, StandardCharsets.UTF_8);
  }
}
