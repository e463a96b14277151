package reachloom.gateway.wire;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;

/**
 * Connects a decoder to the sockets: decodes what is received and passes it on. Whatever goes wrong
 * closes the connection that it went wrong on, and nothing else. Called on the thread that serves
 * the sockets, where not said otherwise.
 *
 * @param <M> the messages
 */
public final class DecodingHandler<M> extends IoHandlerAdapter {
  private static final Logger LOG = System.getLogger(DecodingHandler.class.getName());
  private static final AttributeKey DECODER = new AttributeKey(DecodingHandler.class, "decoder");

  private static final AttributeKey ONCE_WRITTEN =
      new AttributeKey(DecodingHandler.class, "onceWritten");

  private final String peer;
  private final Supplier<Decoder<M>> decoders;
  private final Listener<M> listener;

  /** A handler for connections to peers of that name, each with a decoder of its own. */
  public DecodingHandler(String peer, Supplier<Decoder<M>> decoders, Listener<M> listener) {
    this.peer = peer;
    this.decoders = decoders;
    this.listener = listener;
  }

  /** Discards what is still received on a connection from now on; from any thread. */
  public static void discardInput(IoSession session) {
    session.removeAttribute(DECODER);
  }

  /**
   * Does that once all that was handed to the connection is written; on either thread, and perhaps
   * twice.
   */
  static void onceWritten(IoSession session, Runnable then) {
    session.setAttribute(ONCE_WRITTEN, then);
    writtenAll(session);
  }

  private static void writtenAll(IoSession session) {
    if (session.getScheduledWriteMessages() == 0
        && session.getAttribute(ONCE_WRITTEN) instanceof Runnable then) {
      then.run();
    }
  }

  @Override
  public void messageSent(IoSession session, Object message) {
    writtenAll(session);
  }

  @Override
  public void sessionOpened(IoSession session) {
    session.setAttribute(DECODER, decoders.get());
    listener.opened(session);
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    @SuppressWarnings("unchecked")
    Decoder<M> decoder = (Decoder<M>) session.getAttribute(DECODER);
    if (decoder == null || session.isClosing()) {
      return;
    }
    IoBuffer buffer = (IoBuffer) message;
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    boolean before = decoder.partial();
    int[] share = {bytes.length}; // of memory: a message takes about the bytes it came in
    String fault =
        decoder.feed(
            bytes,
            0,
            bytes.length,
            m -> {
              listener.received(session, m, share[0]);
              share[0] = 0;
            });
    if (fault != null) {
      LOG.log(
          Level.WARNING,
          "{0} {1} sent {2}; its connection is closed",
          peer,
          session.getRemoteAddress(),
          fault);
      discardInput(session);
      listener.inputMalformed(session);
    } else if (decoder.partial() && (!before || share[0] == 0)) {
      listener.messageStarted(session);
    }
  }

  @Override
  public void sessionClosed(IoSession session) {
    listener.closed(session);
  }

  @Override
  public void inputClosed(IoSession session) {
    session.closeNow();
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    LOG.log(
        Level.DEBUG,
        "connection with {0} {1} failed: {2}",
        peer,
        session.getRemoteAddress(),
        cause);
    session.closeNow();
  }
}
