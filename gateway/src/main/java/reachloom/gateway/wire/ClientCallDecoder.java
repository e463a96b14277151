package reachloom.gateway.wire;

import java.util.function.Consumer;

/**
 * Decodes the byte stream of one client connection: {@link FrameDecoder} splits it into frames and
 * {@link ThriftReader} decodes each frame as a call. Nothing after the first malformed frame is
 * decoded, since frame boundaries can't be trusted any more.
 *
 * <p>Not thread-safe: confined to the thread that serves the sockets.
 */
public final class ClientCallDecoder implements Decoder<ClientCall> {
  private static final int MIN_FRAME_BYTES = 1;
  private static final int MAX_FRAME_BYTES = 64 * 1024;

  private final FrameDecoder frames = new FrameDecoder(MIN_FRAME_BYTES, MAX_FRAME_BYTES);

  /** Why the stream can't be decoded any further; null while it can. */
  private String fault;

  @Override
  public boolean partial() {
    return frames.partial();
  }

  @Override
  public String feed(byte[] bytes, int from, int to, Consumer<? super ClientCall> messages) {
    String frameFault = frames.feed(bytes, from, to, frame -> read(frame, messages));
    return fault != null ? fault : frameFault;
  }

  private void read(byte[] frame, Consumer<? super ClientCall> messages) {
    if (fault != null) {
      return;
    }
    ClientCall call = ThriftReader.read(frame);
    if (call instanceof ClientCall.Broken broken) {
      fault = broken.why();
    } else {
      messages.accept(call);
    }
  }
}
