package reachloom.lab.cluster;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import reachloom.gateway.wire.Decoder;

/**
 * Commands to engines: lines that end in CR LF, behind {@code ASK} a body as long as its last word
 * says.
 */
public final class EngineCommandDecoder implements Decoder<EngineCommand> {
  private static final int MAX_LINE = 4096;
  private static final int MAX_BODY = 64 * 1024;
  private static final int LINE_END = 2;

  private final ByteArrayOutputStream part = new ByteArrayOutputStream();
  private String[] ask;
  private int wanted;

  @Override
  public boolean partial() {
    return ask != null || part.size() > 0;
  }

  @Override
  public String feed(byte[] bytes, int from, int to, Consumer<? super EngineCommand> messages) {
    for (int at = from; at < to; ) {
      if (ask != null) {
        int more = Math.min(to - at, wanted - part.size());
        part.write(bytes, at, more);
        at += more;
        if (part.size() == wanted) {
          String body = part.toString(StandardCharsets.UTF_8);
          String statement = body.substring(0, body.length() - LINE_END);
          messages.accept(new EngineCommand(ask[0], ask[1], ask[2], statement));
          part.reset();
          ask = null;
        }
        continue;
      }
      byte b = bytes[at++];
      if (b != '\n') {
        part.write(b);
        if (part.size() > MAX_LINE) {
          return "a line without end";
        }
        continue;
      }
      String line = part.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      part.reset();
      String[] words = line.split(" ");
      if (words.length < 2) {
        return "a line that is no command";
      }
      if (words[0].equals("ASK")) {
        int length =
            words.length == 4 && words[3].matches("\\d{1,6}") ? Integer.parseInt(words[3]) : -1;
        if (length < 0 || length > MAX_BODY) {
          return "a request of no length";
        }
        ask = words;
        wanted = length + LINE_END;
      } else {
        messages.accept(
            new EngineCommand(words[0], words[1], words.length > 2 ? words[2] : "", ""));
      }
    }
    return null;
  }
}
