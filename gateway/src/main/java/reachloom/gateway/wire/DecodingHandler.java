package reachloom.gateway.wire;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;

/**
 * Connects a decoder to the sockets: decodes the received bytes and passes the messages on. A
 * failure closes only the connection on which it occurs. Methods are called on the thread that
 * serves the sockets unless stated otherwise.
 *
 * @param <M> the type of the messages
 */
public final class DecodingHandler<M> extends IoHandlerAdapter {
  private static final Logger LOG = System.getLogger(DecodingHandler.class.getName());
  private static final AttributeKey DECODER = new AttributeKey(DecodingHandler.class, "decoder");

  private static final AttributeKey WRITTEN_ACTION =
      new AttributeKey(DecodingHandler.class, "writtenAction");

  private final String peer;
  private final long windowBytes;
  private final Supplier<Decoder<M>> decoderFactory;
  private final Listener<M> listener;

  /**
   * Creates a handler whose connections are read without a limit.
   *
   * @param peer the role of the remote side in log lines
   * @param decoderFactory creates the decoder of each connection
   */
  public DecodingHandler(String peer, Supplier<Decoder<M>> decoderFactory, Listener<M> listener) {
    this(peer, Long.MAX_VALUE, decoderFactory, listener);
  }

  /**
   * Creates a handler.
   *
   * @param peer the role of the remote side in log lines
   * @param windowBytes the unfinished work at which a connection is not read, in bytes of memory
   * @param decoderFactory creates the decoder of each connection
   */
  public DecodingHandler(
      String peer, long windowBytes, Supplier<Decoder<M>> decoderFactory, Listener<M> listener) {
    this.peer = peer;
    this.windowBytes = windowBytes;
    this.decoderFactory = decoderFactory;
    this.listener = listener;
  }

  long windowBytes() {
    return windowBytes;
  }

  /** Discards all further input of a connection. May be called from any thread. */
  public static void discardInput(IoSession session) {
    session.removeAttribute(DECODER);
  }

  /**
   * Runs an action once all bytes that were passed to the connection are written. The action runs
   * on the calling thread or the one that serves the sockets, and may run twice.
   */
  static void runOnceWritten(IoSession session, Runnable action) {
    session.setAttribute(WRITTEN_ACTION, action);
    runActionIfWritten(session);
  }

  private static void runActionIfWritten(IoSession session) {
    if (session.getScheduledWriteMessages() == 0
        && session.getAttribute(WRITTEN_ACTION) instanceof Runnable action) {
      action.run();
    }
  }

  @Override
  public void messageSent(IoSession session, Object message) {
    runActionIfWritten(session);
  }

  @Override
  public void sessionOpened(IoSession session) {
    session.setAttribute(DECODER, decoderFactory.get());
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
    ConnectionInput input = ConnectionInput.of(session);
    if (input.isUnread()) {
      reportUnread(input);
    }
    int messages = decode(session, decoder, bytes);
    input.recordRead(bytes.length, messages);
    if (input.pauseIfFull()) {
      reportUnread(input);
    } else if (!input.isUnread()) {
      readCompletely(input);
    }
  }

  /** Decodes bytes and passes the messages on; returns the number of messages. */
  private int decode(IoSession session, Decoder<M> decoder, byte[] bytes) {
    boolean wasPartial = decoder.partial();
    // The first message is charged with the memory of all received bytes, the others with none.
    int[] uncharged = {bytes.length};
    int[] messages = {0};
    String fault =
        decoder.feed(
            bytes,
            0,
            bytes.length,
            m -> {
              listener.received(session, m, uncharged[0]);
              uncharged[0] = 0;
              messages[0]++;
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
    } else if (decoder.partial() && (!wasPartial || messages[0] > 0)) {
      listener.messageStarted(session);
    } else if (decoder.partial()) {
      listener.messageContinued(session, bytes.length);
    }
    return messages[0];
  }

  private void reportUnread(ConnectionInput input) {
    if (input.report(true)) {
      listener.inputUnread(input.session());
    }
  }

  /** Reports that all input of a connection was read, unless the listener knows. */
  void readCompletely(ConnectionInput input) {
    if (input.report(false)) {
      listener.inputRead(input.session());
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
