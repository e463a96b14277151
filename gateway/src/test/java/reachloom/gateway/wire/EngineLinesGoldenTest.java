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
 * The bytes between a gateway and its engines, against those that version 09d85ed wrote and read.
 * The stored files stand for all engines that are deployed: a test here that fails means that the
 * wire format has changed, never that a file is to be written anew.
 */
class EngineLinesGoldenTest {
  private static final String COMMANDS = "engine-lines/commands";
  private static final String ANSWERS = "engine-lines/answers";
  private static final String REQUEST = "9f3c00d1b2a47e58";
  private static final String KEY = "91f03b7c55d20a64";
  private static final String PROBE = "p41";
  private static final String ROWS = "a\tb\tc\n\u00e4\t\t\u20ac\n";
  private static final Map<String, ByteBuffer> WRITTEN = written();
  private static final Map<String, Fields> READ = read();

  /** All fields of an answer, with the body's bytes as digits so that answers can be compared. */
  private record Fields(
      String id, EngineResponse.Status status, Map<String, String> fields, String body) {
    Fields(EngineResponse answer) {
      this(answer.id(), answer.status(), answer.fields(), GoldenHex.hex(answer.body()));
    }
  }

  private static Map<String, ByteBuffer> written() {
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
    written.put("info", EngineCommandWriter.checkHealth(PROBE, true));
    written.put("noop", EngineCommandWriter.checkHealth(PROBE, false));
    return written;
  }

  private static Map<String, Fields> read() {
    Map<String, Fields> read = new LinkedHashMap<>();
    read.put(
        "ok-one-page",
        answer(
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
        answer(
            EngineResponse.Status.RESULT,
            Map.of("fetches", "1024", "effort", "0.5", "high", "0"),
            ROWS.getBytes(UTF_8)));
    read.put("ok-without-rows", answer(EngineResponse.Status.RESULT, Map.of("fetches", "1")));
    read.put(
        "ok-body-with-line-ends",
        answer(
            EngineResponse.Status.RESULT,
            Map.of("fetches", "1"),
            "a\tb\r\nc\n\r\n\0\u00ff".getBytes(ISO_8859_1)));
    read.put(
        "ok-largest-body",
        answer(
            EngineResponse.Status.RESULT,
            Map.of("fetches", "1"),
            ("x".repeat(5994) + "\tb\tcd\n").getBytes(UTF_8)));
    read.put(
        "rows", answer(EngineResponse.Status.PAGE, Map.of("fetch_no", "2"), ROWS.getBytes(UTF_8)));
    read.put("busy", answer(EngineResponse.Status.BUSY, Map.of()));
    read.put(
        "busy-with-report",
        answer(EngineResponse.Status.BUSY, Map.of("use", "util:1;queue:12;x0:0.9;x1:0.75")));
    read.put("err", answer(EngineResponse.Status.ERROR, Map.of(), "no such table".getBytes(UTF_8)));
    read.put("void", answer(EngineResponse.Status.NOT_RUN, Map.of()));
    read.put(
        "note-so-far",
        answer(EngineResponse.Status.PROGRESS, Map.of("detail", "so_far", "figure", "0.25")));
    read.put(
        "note-lacking",
        answer(EngineResponse.Status.PROGRESS, Map.of("detail", "lacking", "figure", "12")));
    read.put(
        "note-waiting",
        answer(EngineResponse.Status.PROGRESS, Map.of("detail", "waiting", "figure", "2")));
    read.put(
        "up-with-report",
        probeAnswer(EngineResponse.Status.UP, Map.of("use", "util:0.1;queue:0;x0:0.1;x1:0.1")));
    read.put("up", probeAnswer(EngineResponse.Status.UP, Map.of()));
    read.put("down", probeAnswer(EngineResponse.Status.DOWN, Map.of()));
    read.put(
        "unknown-word", answer(EngineResponse.Status.UNKNOWN, Map.of(), "xyz".getBytes(UTF_8)));
    read.put(
        "unreadable-fields",
        answer(
            EngineResponse.Status.RESULT,
            Map.of("fetches", "1", "twice", "2", "note", "a=b", "empty", "")));
    return read;
  }

  private static Fields answer(EngineResponse.Status status, Map<String, String> fields) {
    return answer(status, fields, new byte[0]);
  }

  private static Fields answer(
      EngineResponse.Status status, Map<String, String> fields, byte[] body) {
    return new Fields(REQUEST, status, fields, GoldenHex.hex(body));
  }

  private static Fields probeAnswer(EngineResponse.Status status, Map<String, String> fields) {
    return new Fields(PROBE, status, fields, "");
  }

  static Stream<Arguments> commands() {
    return WRITTEN.entrySet().stream().map(e -> arguments(e.getKey(), e.getValue()));
  }

  static Stream<Arguments> answers() {
    return READ.entrySet().stream().map(e -> arguments(e.getKey(), e.getValue()));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("commands")
  void commandsAreWrittenAsTheStoredBytes(String name, ByteBuffer written) {
    assertEquals(GoldenHex.hex(GoldenHex.read(COMMANDS, name)), GoldenHex.hex(written));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("answers")
  void storedAnswersAreReadWithAllTheirFieldsHoweverTheyAreCut(String name, Fields expected) {
    byte[] stored = GoldenHex.read(ANSWERS, name);
    assertEquals(List.of(expected), Feeds.alike(stored, EngineResponseDecoder::new, Fields::new));
  }

  @Test
  void storedAnswersThatFollowEachOtherAreReadAsOneByOne() {
    byte[][] stored =
        READ.keySet().stream().map(name -> GoldenHex.read(ANSWERS, name)).toArray(byte[][]::new);
    List<Fields> read = new ArrayList<>();
    byte[] stream = Feeds.join(stored);
    String fault =
        new EngineResponseDecoder()
            .feed(stream, 0, stream.length, answer -> read.add(new Fields(answer)));
    assertNull(fault);
    assertEquals(List.copyOf(READ.values()), read);
  }

  @Test
  void eachStoredFileIsLookedAt() {
    assertEquals(new TreeSet<>(WRITTEN.keySet()), GoldenHex.names(COMMANDS));
    assertEquals(new TreeSet<>(READ.keySet()), GoldenHex.names(ANSWERS));
  }
}
