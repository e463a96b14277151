package reachloom.gateway.wire;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares the bytes between a gateway and its engines with those that version 09d85ed wrote and
 * read. The stored files represent all deployed engines: a failure means that the wire format has
 * changed; the files must never be regenerated.
 */
class EngineLinesGoldenTest {
  private static final String COMMANDS_FOLDER = "engine-lines/commands";
  private static final String RESPONSES_FOLDER = "engine-lines/answers";
  private static final String REQUEST = "9f3c00d1b2a47e58";
  private static final String KEY = "91f03b7c55d20a64";
  private static final String HEALTH_CHECK = "p41";
  private static final String ROWS = "a\tb\tc\n\u00e4\t\t\u20ac\n";
  private static final Map<String, ByteBuffer> COMMANDS = encodedCommands();
  private static final Map<String, Fields> RESPONSES = expectedResponses();

  /** All fields of a response, with the body as digits so that responses can be compared. */
  private record Fields(
      String id, EngineResponse.Status status, Map<String, String> fields, String body) {
    Fields(EngineResponse response) {
      this(response.id(), response.status(), response.fields(), GoldenHex.hex(response.body()));
    }
  }

  private static Map<String, ByteBuffer> encodedCommands() {
    Bytes plain = new Bytes("<select 1>".getBytes(UTF_8), 1, 8);
    byte[] binary =
        "select \"\u00c3\u00a4\u00e2\u0082\u00ac\"\r\nfrom \0t\u00ff\r\n".getBytes(ISO_8859_1);
    Map<String, ByteBuffer> written = new LinkedHashMap<>();
    written.put("ask", EngineCommandWriter.run(REQUEST, "report", 150, null, 1, plain));
    written.put("ask-with-key", EngineCommandWriter.run(REQUEST, "load", 1, KEY, 1, plain));
    written.put(
        "ask-with-priority", EngineCommandWriter.run(REQUEST, "report", 25_000, null, 0, plain));
    written.put(
        "ask-with-key-and-priority",
        EngineCommandWriter.run(REQUEST, "load", 150, KEY, 3, Bytes.of(binary)));
    written.put(
        "ask-with-empty-statement",
        EngineCommandWriter.run(REQUEST, "report", 150, null, 1, Bytes.of(new byte[0])));
    written.put("quit", EngineCommandWriter.cancel(REQUEST));
    written.put("prio", EngineCommandWriter.setPriority(REQUEST, 0));
    written.put("next", EngineCommandWriter.fetchPage(REQUEST, 1023));
    written.put("free", EngineCommandWriter.releaseResult(REQUEST));
    written.put("info", EngineCommandWriter.checkHealth(HEALTH_CHECK, true));
    written.put("noop", EngineCommandWriter.checkHealth(HEALTH_CHECK, false));
    return written;
  }

  private static Map<String, Fields> expectedResponses() {
    Map<String, Fields> read = new LinkedHashMap<>();
    read.put(
        "ok-one-page",
        response(
            EngineResponse.Status.RESULT,
            Map.of(
                "fetches",
                "1",
                "effort",
                "12",
                "high",
                "3.5",
                "use",
                "util:0.5;queue:2;x0:0.25;x1:0"),
            ROWS.getBytes(UTF_8)));
    read.put(
        "ok-first-of-pages",
        response(
            EngineResponse.Status.RESULT,
            Map.of("fetches", "1024", "effort", "0.5", "high", "0"),
            ROWS.getBytes(UTF_8)));
    read.put("ok-without-rows", response(EngineResponse.Status.RESULT, Map.of("fetches", "1")));
    read.put(
        "ok-body-with-line-ends",
        response(
            EngineResponse.Status.RESULT,
            Map.of("fetches", "1"),
            "a\tb\r\nc\n\r\n\0\u00ff".getBytes(ISO_8859_1)));
    read.put(
        "ok-largest-body",
        response(
            EngineResponse.Status.RESULT,
            Map.of("fetches", "1"),
            ("x".repeat(5994) + "\tb\tcd\n").getBytes(UTF_8)));
    read.put(
        "rows",
        response(EngineResponse.Status.PAGE, Map.of("fetch_no", "2"), ROWS.getBytes(UTF_8)));
    read.put("busy", response(EngineResponse.Status.BUSY, Map.of()));
    read.put(
        "busy-with-report",
        response(EngineResponse.Status.BUSY, Map.of("use", "util:1;queue:12;x0:0.9;x1:0.75")));
    read.put(
        "err", response(EngineResponse.Status.ERROR, Map.of(), "no such table".getBytes(UTF_8)));
    read.put("void", response(EngineResponse.Status.NOT_RUN, Map.of()));
    read.put(
        "note-so-far",
        response(EngineResponse.Status.PROGRESS, Map.of("detail", "so_far", "figure", "0.25")));
    read.put(
        "note-lacking",
        response(EngineResponse.Status.PROGRESS, Map.of("detail", "lacking", "figure", "12")));
    read.put(
        "note-waiting",
        response(EngineResponse.Status.PROGRESS, Map.of("detail", "waiting", "figure", "2")));
    read.put(
        "up-with-report",
        healthResponse(EngineResponse.Status.UP, Map.of("use", "util:0.1;queue:0;x0:0.1;x1:0.1")));
    read.put("up", healthResponse(EngineResponse.Status.UP, Map.of()));
    read.put("down", healthResponse(EngineResponse.Status.DOWN, Map.of()));
    read.put(
        "unknown-word", response(EngineResponse.Status.UNKNOWN, Map.of(), "xyz".getBytes(UTF_8)));
    read.put(
        "unreadable-fields",
        response(
            EngineResponse.Status.RESULT,
            Map.of("fetches", "1", "twice", "2", "note", "a=b", "empty", "")));
    return read;
  }

  private static Fields response(EngineResponse.Status status, Map<String, String> fields) {
    return response(status, fields, new byte[0]);
  }

  private static Fields response(
      EngineResponse.Status status, Map<String, String> fields, byte[] body) {
    return new Fields(REQUEST, status, fields, GoldenHex.hex(body));
  }

  private static Fields healthResponse(EngineResponse.Status status, Map<String, String> fields) {
    return new Fields(HEALTH_CHECK, status, fields, "");
  }

  static Stream<Arguments> commands() {
    return COMMANDS.entrySet().stream().map(e -> arguments(e.getKey(), e.getValue()));
  }

  static Stream<Arguments> responses() {
    return RESPONSES.entrySet().stream().map(e -> arguments(e.getKey(), e.getValue()));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("commands")
  void encodesCommandsToStoredBytes(String name, ByteBuffer written) {
    assertEquals(GoldenHex.hex(GoldenHex.read(COMMANDS_FOLDER, name)), GoldenHex.hex(written));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("responses")
  void decodesStoredResponsesInAnySplit(String name, Fields expected) {
    byte[] stored = GoldenHex.read(RESPONSES_FOLDER, name);
    assertEquals(
        List.of(expected),
        DecoderAssertions.decodeInAnySplit(stored, EngineResponseDecoder::new, Fields::new));
  }

  @Test
  void decodesConcatenatedStoredResponses() {
    byte[][] stored =
        RESPONSES.keySet().stream()
            .map(name -> GoldenHex.read(RESPONSES_FOLDER, name))
            .toArray(byte[][]::new);
    List<Fields> read = new ArrayList<>();
    byte[] stream = DecoderAssertions.concat(stored);
    String fault =
        new EngineResponseDecoder()
            .feed(stream, 0, stream.length, response -> read.add(new Fields(response)));
    assertNull(fault);
    assertEquals(List.copyOf(RESPONSES.values()), read);
  }

  @Test
  void everyStoredFileIsTested() {
    assertEquals(new TreeSet<>(COMMANDS.keySet()), GoldenHex.names(COMMANDS_FOLDER));
    assertEquals(new TreeSet<>(RESPONSES.keySet()), GoldenHex.names(RESPONSES_FOLDER));
  }
}
