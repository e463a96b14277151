package reachloom.gateway.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Answers of engines: a line {@code ID WORD FIELDS LENGTH}, so many bytes, and the end of a line.
 */
public final class EngineResponseDecoder implements Decoder<EngineResponse> {
  private static final int MAX_LINE = 4096;
  private static final int MAX_BODY = 6_000; // a page, as the protocol says
  private static final int FIRST_LINE = 128;
  private static final int WORDS = 4;
  private static final byte[] NOTHING = new byte[0];

  private enum State {
    LINE,
    BODY,
    BODY_CR,
    BODY_LF
  }

  private State state = State.LINE;
  private byte[] line = new byte[FIRST_LINE];
  private int lineLength;
  private EngineResponse answer;
  private int have;

  @Override
  public boolean partial() {
    return state != State.LINE || lineLength > 0;
  }

  @Override
  public String feed(byte[] bytes, int from, int to, Consumer<? super EngineResponse> messages) {
    int at = from;
    String fault = null;
    while (at < to && fault == null) {
      switch (state) {
        case LINE -> fault = lineByte(bytes[at++]);
        case BODY -> {
          int part = Math.min(to - at, answer.body().length - have);
          System.arraycopy(bytes, at, answer.body(), have, part);
          at += part;
          have += part;
          state = have == answer.body().length ? State.BODY_CR : State.BODY;
        }
        case BODY_CR -> {
          fault = bytes[at++] == '\r' ? null : "a body longer than it says";
          state = State.BODY_LF;
        }
        case BODY_LF -> {
          fault = bytes[at++] == '\n' ? null : "a body longer than it says";
          state = State.LINE;
          if (fault == null) {
            messages.accept(answer);
          }
        }
      }
    }
    return fault;
  }

  private String lineByte(byte b) {
    if (b != '\n') {
      if (lineLength == MAX_LINE) {
        return "a line without end";
      }
      if (lineLength == line.length) {
        line = Arrays.copyOf(line, Math.min(MAX_LINE, 2 * lineLength));
      }
      line[lineLength++] = b;
      return null;
    }
    if (lineLength == 0 || line[lineLength - 1] != '\r') {
      return "a line that ends without CR";
    }
    String text = new String(line, 0, lineLength - 1, StandardCharsets.ISO_8859_1);
    lineLength = 0;
    return head(text);
  }

  private String head(String text) {
    String[] words = text.split(" ", -1);
    int length = words.length == WORDS ? length(words[WORDS - 1]) : -1;
    if (length < 0 || words[0].isEmpty()) {
      return "a line that is no answer";
    }
    answer =
        new EngineResponse(
            words[0], word(words[1]), fields(words[2]), length == 0 ? NOTHING : new byte[length]);
    have = 0;
    state = length == 0 ? State.BODY_CR : State.BODY;
    return null;
  }

  private static EngineResponse.Word word(String text) {
    for (EngineResponse.Word w : EngineResponse.Word.values()) {
      if (w.name().equals(text)) {
        return w;
      }
    }
    return EngineResponse.Word.OTHER;
  }

  private static int length(String text) {
    long read = Numbers.whole(text, -1);
    return read >= 0 && read <= MAX_BODY ? (int) read : -1;
  }

  private static Map<String, String> fields(String text) {
    if (text.equals("-")) {
      return Map.of();
    }
    Map<String, String> read = new HashMap<>();
    for (String field : text.split(",")) {
      int equals = field.indexOf('=');
      if (equals > 0) { // what is no field is passed over
        read.put(field.substring(0, equals), field.substring(equals + 1));
      }
    }
    return read;
  }
}
