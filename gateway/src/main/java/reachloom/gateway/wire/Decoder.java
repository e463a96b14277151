package reachloom.gateway.wire;

import java.util.function.Consumer;

/**
 * Decodes a stream of bytes into messages. It buffers a message that is not whole yet, within a
 * bound. Confined to the thread that serves the sockets.
 *
 * @param <M> the messages
 */
public interface Decoder<M> {
  /**
   * Takes the next bytes and passes on the messages that are whole.
   *
   * @return null, or why the stream can't be used any more
   */
  String feed(byte[] bytes, int from, int to, Consumer<? super M> messages);

  /** Whether a message has begun that is not whole yet. */
  boolean partial();
}
