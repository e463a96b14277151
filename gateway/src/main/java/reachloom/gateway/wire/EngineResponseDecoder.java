package reachloom.gateway.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Decodes the responses of engines: a line {@code ID STATUS FIELDS LENGTH}, a body of {@code
 * LENGTH} bytes, and a line end. Lines end with CR and LF; fields are {@code NAME=VALUE}, separated
 * by commas, or a hyphen for none. Not thread-safe: each connection has its own decoder.
 */
public final class EngineResponseDecoder implements Decoder<EngineResponse> {
  private static final int MAX_LINE_BYTES = 4096;
  private static final int MAX_BODY_BYTES = 6_000; // a page of the protocol
  private static final int INITIAL_LINE_BYTES = 128;
  private static final int TOKENS = 4;
  private static final byte[] EMPTY_BODY = new byte[0];

  private enum State {
    LINE,
    BODY,
    BODY_CR,
    BODY_LF
  }

  private State state = State.LINE;
  private byte[] line = new byte[INITIAL_LINE_BYTES];
  private int lineLength;
  private EngineResponse response;
  private int bodyLength;

  @Override
  public boolean partial() {
    return state != State.LINE || lineLength > 0;
  }

  @Override
  public String feed(byte[] bytes, int from, int to, Consumer<? super EngineResponse> messages) {
    int position = from;
    String fault = null;
    while (position < to && fault == null) {
      switch (state) {
        case LINE -> fault = decodeLineByte(bytes[position++]);
        case BODY -> position += copyBody(bytes, position, to);
        case BODY_CR -> {
          fault = bytes[position++] == '\r' ? null : "a body longer than its announced length";
          state = State.BODY_LF;
        }
        case BODY_LF -> {
          fault = bytes[position++] == '\n' ? null : "a body longer than its announced length";
          state = State.LINE;
          if (fault == null) {
            messages.accept(response);
          }
        }
      }
    }
    return fault;
  }

  /** Copies the available bytes of the body and returns their number. */
  private int copyBody(byte[] bytes, int from, int to) {
    byte[] body = response.body();
    int length = Math.min(to - from, body.length - bodyLength);
    System.arraycopy(bytes, from, body, bodyLength, length);
    bodyLength += length;
    state = bodyLength == body.length ? State.BODY_CR : State.BODY;
    return length;
  }

  private String decodeLineByte(byte next) {
    if (next != '\n') {
      return appendToLine(next);
    }
    if (lineLength == 0 || line[lineLength - 1] != '\r') {
      return "a line that ends without CR";
    }
    String text = new String(line, 0, lineLength - 1, StandardCharsets.ISO_8859_1);
    lineLength = 0;
    return decodeLine(text);
  }

  private String appendToLine(byte next) {
    if (lineLength == MAX_LINE_BYTES) {
      return "a line longer than " + MAX_LINE_BYTES + " bytes";
    }
    if (lineLength == line.length) {
      line = Arrays.copyOf(line, Math.min(MAX_LINE_BYTES, 2 * lineLength));
    }
    line[lineLength++] = next;
    return null;
  }

  private String decodeLine(String text) {
    String[] tokens = text.split(" ", -1);
    int length = tokens.length == TOKENS ? bodyLength(tokens[TOKENS - 1]) : -1;
    if (length < 0 || tokens[0].isEmpty()) {
      return "a line that is not a response";
    }
    byte[] body = length == 0 ? EMPTY_BODY : new byte[length];
    response =
        new EngineResponse(tokens[0], EngineResponse.Status.of(tokens[1]), fields(tokens[2]), body);
    bodyLength = 0;
    state = length == 0 ? State.BODY_CR : State.BODY;
    return null;
  }

  private static int bodyLength(String text) {
    long length = Numbers.parseNonNegative(text, -1);
    return length >= 0 && length <= MAX_BODY_BYTES ? (int) length : -1;
  }

  private static Map<String, String> fields(String text) {
    if (text.equals("-")) {
      return Map.of();
    }
    Map<String, String> fields = new HashMap<>();
    for (String field : text.split(",")) {
      int equals = field.indexOf('=');
      if (equals > 0) { // anything else is ignored
        fields.put(field.substring(0, equals), field.substring(equals + 1));
      }
    }
    return fields;
  }
}
