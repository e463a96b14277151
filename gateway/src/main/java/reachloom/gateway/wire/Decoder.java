package reachloom.gateway.wire;

import java.util.function.Consumer;

/**
 * Decodes a stream of bytes into messages. It buffers an incomplete message, up to a bound.
 * Confined to the thread that serves the sockets.
 *
 * @param <M> the type of the messages
 */
public interface Decoder<M> {
  /**
   * Decodes the next bytes and passes on the messages that are complete.
   *
   * @return null, or why the stream can't be decoded any further
   */
  String feed(byte[] bytes, int from, int to, Consumer<? super M> messages);

  /** Whether the decoder buffers an incomplete message. */
  boolean partial();
}
