package reachloom.lab.cluster;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import reachloom.gateway.wire.Decoder;

/**
 * Decodes commands to engines: lines that end in CR LF; {@code ASK} is followed by a body whose
 * length is the line's last word.
 */
public final class EngineCommandDecoder implements Decoder<EngineCommand> {
  private static final int MAX_LINE_BYTES = 4096;
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int LINE_END_BYTES = 2;

  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

  /** The words of the ASK line whose body is being received; null between commands. */
  private String[] askWords;

  private int expectedBytes;

  @Override
  public boolean partial() {
    return askWords != null || buffer.size() > 0;
  }

  @Override
  public String feed(byte[] bytes, int from, int to, Consumer<? super EngineCommand> messages) {
    for (int at = from; at < to; ) {
      if (askWords != null) {
        int more = Math.min(to - at, expectedBytes - buffer.size());
        buffer.write(bytes, at, more);
        at += more;
        if (buffer.size() == expectedBytes) {
          String body = buffer.toString(StandardCharsets.UTF_8);
          String statement = body.substring(0, body.length() - LINE_END_BYTES);
          messages.accept(new EngineCommand(askWords[0], askWords[1], askWords[2], statement));
          buffer.reset();
          askWords = null;
        }
        continue;
      }
      byte b = bytes[at++];
      if (b != '\n') {
        buffer.write(b);
        if (buffer.size() > MAX_LINE_BYTES) {
          return "command line exceeds " + MAX_LINE_BYTES + " bytes";
        }
        continue;
      }
      String line = buffer.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      buffer.reset();
      String[] words = line.split(" ");
      if (words.length < 2) {
        return "command line has fewer than two words";
      }
      if (words[0].equals("ASK")) {
        int length =
            words.length == 4 && words[3].matches("\\d{1,6}") ? Integer.parseInt(words[3]) : -1;
        if (length < 0 || length > MAX_BODY_BYTES) {
          return "ASK line has no valid body length";
        }
        askWords = words;
        expectedBytes = length + LINE_END_BYTES;
      } else {
        messages.accept(
            new EngineCommand(words[0], words[1], words.length > 2 ? words[2] : "", ""));
      }
    }
    return null;
  }
}
