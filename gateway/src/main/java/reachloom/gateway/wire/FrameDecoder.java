package reachloom.gateway.wire;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a stream into frames: a length of four bytes, unsigned and big-endian, then that number of
 * bytes. Memory grows with the bytes received, not with the announced length.
 */
public final class FrameDecoder implements Decoder<byte[]> {
  private static final int INITIAL_BYTES = 512;
  private static final int BYTE_MASK = 0xff;

  private final int minBytes;
  private final int maxBytes;
  private long length;
  private int lengthBytes;
  private byte[] frame;
  private int received;

  /** Creates a decoder of frames whose length is within the bounds, both inclusive. */
  public FrameDecoder(int minBytes, int maxBytes) {
    this.minBytes = minBytes;
    this.maxBytes = maxBytes;
  }

  @Override
  public boolean partial() {
    return lengthBytes > 0;
  }

  @Override
  public String feed(byte[] bytes, int from, int to, Consumer<? super byte[]> messages) {
    int position = from;
    while (position < to) {
      if (lengthBytes < Integer.BYTES) {
        length = length << Byte.SIZE | bytes[position++] & BYTE_MASK;
        if (++lengthBytes < Integer.BYTES) {
          continue;
        }
        if (length < minBytes || length > maxBytes) {
          return "a frame of " + length + " bytes";
        }
        // The announced length is untrusted: the buffer grows with the bytes received.
        frame = new byte[(int) Math.min(length, INITIAL_BYTES)];
        received = 0;
      }
      int part = (int) Math.min(to - position, length - received);
      if (received + part > frame.length) {
        frame =
            Arrays.copyOf(
                frame, (int) Math.min(length, Math.max(received + part, 2L * frame.length)));
      }
      System.arraycopy(bytes, position, frame, received, part);
      position += part;
      received += part;
      if (received == length) {
        byte[] complete = frame;
        frame = null;
        length = 0;
        lengthBytes = 0;
        messages.accept(complete);
      }
    }
    return null;
  }
}
