package reachloom.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares stored client frames with the decoded requests and the encoded responses. The files must
 * never be regenerated: a change of one is a change of the protocol.
 */
class ClientFramesGoldenTest {
  private static final Path FRAMES = Path.of("src/test/resources/golden/client-frames");
  private static final int MAX_FRAME_BYTES = 64 * 1024;
  private static final int UNKNOWN_METHOD = 1;
  private static final int PROTOCOL_ERROR = 7;
  private static final String INCOMPLETE_EXECUTE = "fields or body missing or of another type";

  /** The expected call of a stored request, with the hexadecimal statement of an execute call. */
  private record Request(ClientCall call, String statement) {
    static Request execute(int seq, Map<String, String> fields, String statement) {
      return new Request(
          new ClientCall.Execute(seq, fields, Bytes.of(new byte[0])),
          HexFormat.of().formatHex(statement.getBytes(StandardCharsets.UTF_8)));
    }

    static Request of(ClientCall call) {
      return new Request(call, null);
    }

    static Request unusable(int seq, String method, int type, String why) {
      return of(new ClientCall.Unusable(seq, method, type, why));
    }

    static Request broken(String why) {
      return of(new ClientCall.Broken(why));
    }
  }

  private static final Map<String, Request> REQUESTS = new TreeMap<>();
  private static final Map<String, ByteBuffer> RESPONSES = new TreeMap<>();

  static {
    executeRequests();
    otherRequests();
    unusableRequests();
    brokenRequests();
    responses();
  }

  private static void executeRequests() {
    REQUESTS.put(
        "execute",
        Request.execute(
            7,
            Map.of(
                "verb",
                "quick",
                "txn",
                "00000000000000a7",
                "limit",
                "1500",
                "team",
                "one",
                "unique",
                "order-17_B"),
            "select 1 /* ü数 */ from sales_17.orders"));
    REQUESTS.put(
        "execute-oneway", Request.execute(Integer.MAX_VALUE, Map.of("verb", "report"), ""));
    REQUESTS.put(
        "execute-statement-first",
        Request.execute(-2, Map.of("verb", "quick", "limit", "20"), "select 2"));
    REQUESTS.put("execute-empty-map", Request.execute(8, Map.of(), "select 3"));
    REQUESTS.put(
        "execute-bytes",
        new Request(
            new ClientCall.Execute(9, Map.of("verb", "quick"), Bytes.of(new byte[0])),
            "ff00fe0a80"));
    REQUESTS.put("execute-repeated", Request.execute(10, Map.of("verb", "again"), "second"));
    REQUESTS.put(
        "execute-unknown-fields",
        Request.execute(11, Map.of("verb", "quick", "verb2", ""), "select 4"));
    REQUESTS.put(
        "execute-64-fields",
        Request.execute(
            12,
            IntStream.range(0, 64).boxed().collect(Collectors.toMap(i -> "k" + i, i -> "v" + i)),
            "select 5"));
  }

  private static void otherRequests() {
    REQUESTS.put("interrupt", Request.of(new ClientCall.Interrupt(13, 7)));
    REQUESTS.put("interrupt-call", Request.of(new ClientCall.Interrupt(14, -4)));
    REQUESTS.put("check", Request.of(new ClientCall.Check(15)));
    REQUESTS.put("check-empty", Request.of(new ClientCall.Check(16)));
  }

  private static void unusableRequests() {
    REQUESTS.put("unknown-method", Request.unusable(17, "drop", UNKNOWN_METHOD, "unknown method"));
    REQUESTS.put(
        "unknown-method-64-bytes",
        Request.unusable(18, "m".repeat(64), UNKNOWN_METHOD, "unknown method"));
    REQUESTS.put(
        "unusable-execute-no-fields",
        Request.unusable(19, "execute", PROTOCOL_ERROR, INCOMPLETE_EXECUTE));
    REQUESTS.put(
        "unusable-execute-no-statement",
        Request.unusable(20, "execute", PROTOCOL_ERROR, INCOMPLETE_EXECUTE));
    REQUESTS.put(
        "unusable-execute-map-of-numbers",
        Request.unusable(21, "execute", PROTOCOL_ERROR, INCOMPLETE_EXECUTE));
    REQUESTS.put(
        "unusable-execute-65-fields",
        Request.unusable(22, "execute", PROTOCOL_ERROR, INCOMPLETE_EXECUTE));
    REQUESTS.put(
        "unusable-interrupt",
        Request.unusable(23, "interrupt", PROTOCOL_ERROR, "seqid missing or of another type"));
  }

  private static void brokenRequests() {
    REQUESTS.put("broken-version", Request.broken("no strict binary message"));
    REQUESTS.put("broken-type", Request.broken("a message of type 2"));
    REQUESTS.put("broken-name", Request.broken("a method name of 65 bytes"));
    REQUESTS.put("broken-truncated", Request.broken("ends within a value"));
    REQUESTS.put("broken-trailing", Request.broken("3 bytes past the message"));
    REQUESTS.put("broken-value-type", Request.broken("a value of type 99"));
    REQUESTS.put("broken-negative-length", Request.broken("ends within a value"));
    REQUESTS.put("broken-collection", Request.broken("a collection of 2147483647"));
    REQUESTS.put("broken-nesting", Request.broken("nested too deeply"));
  }

  private static void responses() {
    Bytes range = new Bytes("xa\tb\tc\ny".getBytes(StandardCharsets.UTF_8), 1, 6);
    Bytes empty = Bytes.of(new byte[0]);
    Bytes nonAscii = Bytes.of("ü\t数\t\n".getBytes(StandardCharsets.UTF_8));
    RESPONSES.put("served-no-page", ThriftWriter.answer(7, List.of()));
    RESPONSES.put("served-one-page", ThriftWriter.answer(8, List.of(range)));
    RESPONSES.put("served-pages", ThriftWriter.answer(-9, List.of(range, empty, nonAscii)));
    RESPONSES.put("check-ready", ThriftWriter.check(10, true));
    RESPONSES.put("check-not-ready", ThriftWriter.check(Integer.MAX_VALUE, false));
    RESPONSES.put("busy", ThriftWriter.busy(11));
    RESPONSES.put("failed", ThriftWriter.failed(12));
    RESPONSES.put(
        "exception-unknown-method",
        ThriftWriter.exception(
            new ClientCall.Unusable(13, "drop", UNKNOWN_METHOD, "unknown method")));
    RESPONSES.put(
        "exception-protocol-error",
        ThriftWriter.exception(
            new ClientCall.Unusable(14, "exécute", PROTOCOL_ERROR, INCOMPLETE_EXECUTE)));
  }

  static List<String> requests() throws IOException {
    return names("requests");
  }

  static List<String> responseNames() throws IOException {
    return names("answers");
  }

  @Test
  void storedFilesMatchTestCases() throws IOException {
    assertEquals(List.copyOf(REQUESTS.keySet()), names("requests"));
    assertEquals(List.copyOf(RESPONSES.keySet()), names("answers"));
    assertEquals(
        List.of(
            "empty-frame",
            "four-frames-and-a-part",
            "frame-of-unsigned-length",
            "frame-over-64-kib"),
        names("streams"));
  }

  @ParameterizedTest
  @MethodSource("requests")
  void decodesStoredRequest(String name) throws IOException {
    Request expected = REQUESTS.get(name);
    ClientCall read = ThriftReader.read(message("requests", name));
    if (expected.call() instanceof ClientCall.Execute execute) {
      ClientCall.Execute call = assertInstanceOf(ClientCall.Execute.class, read);
      assertEquals(execute.seq(), call.seq());
      assertEquals(execute.fields(), call.fields());
      Bytes statement = call.statement();
      assertEquals(
          expected.statement(),
          HexFormat.of()
              .formatHex(
                  statement.array(), statement.from(), statement.from() + statement.length()));
    } else {
      assertEquals(expected.call(), read); // compares all fields of the records
    }
  }

  @ParameterizedTest
  @MethodSource("responseNames")
  void encodesResponseToStoredBytes(String name) throws IOException {
    ByteBuffer response = RESPONSES.get(name);
    byte[] written = new byte[response.remaining()];
    response.duplicate().get(written);
    assertArrayEquals(stored("answers", name), written);
  }

  @Test
  void splitsStreamIntoFrames() throws IOException {
    byte[] stream = stored("streams", "four-frames-and-a-part");
    FrameDecoder decoder = new FrameDecoder(1, MAX_FRAME_BYTES);
    List<byte[]> frames = new ArrayList<>();
    assertNull(decoder.feed(stream, 0, stream.length, frames::add));
    assertEquals(List.of(22, 29, 1636, 17), frames.stream().map(f -> f.length).toList());
    assertTrue(decoder.partial());
    int at = 0;
    for (byte[] frame : frames) {
      at += Integer.BYTES;
      assertArrayEquals(Arrays.copyOfRange(stream, at, at + frame.length), frame);
      at += frame.length;
    }
    assertEquals(new ClientCall.Check(1), ThriftReader.read(frames.get(0)));
    assertEquals(new ClientCall.Interrupt(2, 1), ThriftReader.read(frames.get(1)));
    assertEquals(
        "s".repeat(1500),
        assertInstanceOf(ClientCall.Execute.class, ThriftReader.read(frames.get(2)))
            .statement()
            .text());
    assertEquals(4, ThriftReader.read(frames.get(3)).seq());
  }

  @Test
  void reportsFramesOutOfBounds() throws IOException {
    Map<String, String> faults = new HashMap<>();
    for (String name : List.of("empty-frame", "frame-over-64-kib", "frame-of-unsigned-length")) {
      byte[] stream = stored("streams", name);
      List<byte[]> frames = new ArrayList<>();
      faults.put(
          name,
          new FrameDecoder(1, MAX_FRAME_BYTES).feed(stream, 0, stream.length, frames::add)
              + " after "
              + frames.size());
    }
    assertEquals(
        Map.of(
            "empty-frame", "a frame of 0 bytes after 1",
            "frame-over-64-kib", "a frame of 65537 bytes after 0",
            "frame-of-unsigned-length", "a frame of 4294967295 bytes after 0"),
        faults);
  }

  /** Returns the message of a file that holds a single frame. */
  private static byte[] message(String kind, String name) throws IOException {
    byte[] stream = stored(kind, name);
    List<byte[]> frames = new ArrayList<>();
    FrameDecoder decoder = new FrameDecoder(1, MAX_FRAME_BYTES);
    assertNull(decoder.feed(stream, 0, stream.length, frames::add));
    assertEquals(1, frames.size());
    assertEquals(stream.length - Integer.BYTES, frames.get(0).length);
    return frames.get(0);
  }

  /** Reads a file of hexadecimal digits; lines that begin with a hash are comments. */
  private static byte[] stored(String kind, String name) throws IOException {
    Path file = FRAMES.resolve(kind).resolve(name + ".hex");
    String digits =
        Files.readAllLines(file).stream()
            .filter(line -> !line.startsWith("#"))
            .collect(Collectors.joining());
    return HexFormat.of().parseHex(digits);
  }

  private static List<String> names(String kind) throws IOException {
    try (Stream<Path> files = Files.list(FRAMES.resolve(kind))) {
      List<String> names =
          files
              .map(file -> file.getFileName().toString())
              .filter(file -> file.endsWith(".hex"))
              .map(file -> file.substring(0, file.length() - ".hex".length()))
              .sorted()
              .toList();
      return names;
    }
  }
}
