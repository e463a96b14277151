package reachloom.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
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
import reachloom.config.EngineMember;
import reachloom.gateway.wire.EndpointListEvent.Kind;
import reachloom.scheduler.api.EngineEndpoint;
import reachloom.scheduler.api.EngineState;

/**
 * Compares the bytes between a gateway and the change log with those that version 09d85ed wrote and
 * read. The stored files represent all deployed change logs: a failure means that the wire format
 * has changed; the files must never be regenerated.
 */
class ChangeLogGoldenTest {
  private static final String FOLDER = "change-log";
  private static final int ZONES = 3;
  private static final int KINDS = 2;
  private static final long NANOS_PER_MILLISECOND = 1_000_000;

  private static final EngineMember UP =
      member(
          new EngineEndpoint(
              "s-00c41f7a",
              EngineState.UP,
              1,
              2,
              2,
              1.5,
              1_700_000_000_123L * NANOS_PER_MILLISECOND),
          "127.1.2.3",
          41_000);
  private static final EngineMember DRAINING =
      member(
          new EngineEndpoint("s-00000001", EngineState.DRAINING, 0, 0, 0, 1.0, 0),
          "10.0.0.1",
          4100);
  private static final EngineMember REMOVED =
      member(
          new EngineEndpoint(
              "s-ffffffff",
              EngineState.REMOVED,
              0,
              1,
              65_535,
              4_294_967.295,
              7 * NANOS_PER_MILLISECOND),
          "255.255.255.255",
          65_535);
  private static final EngineMember UNKNOWN_STATE =
      member(
          new EngineEndpoint("s-00000002", EngineState.DRAINING, 0, 0, 1, 0.25, 0), "127.0.0.1", 1);

  private static final Map<String, EndpointListEvent> EVENTS = expectedEvents();
  private static final Map<String, ByteBuffer> HELLOS = encodedHellos();

  private static Map<String, EndpointListEvent> expectedEvents() {
    Map<String, EndpointListEvent> read = new LinkedHashMap<>();
    read.put("nothing-new", new EndpointListEvent(41, Kind.HEARTBEAT, List.of()));
    read.put("whole-list", new EndpointListEvent(4, Kind.COMPLETE_LIST, List.of(UP, DRAINING)));
    read.put("whole-list-empty", new EndpointListEvent(5, Kind.COMPLETE_LIST, List.of()));
    read.put("changes", new EndpointListEvent(6, Kind.CHANGES, List.of(DRAINING, REMOVED)));
    read.put("changes-up", new EndpointListEvent(7, Kind.CHANGES, List.of(UP)));
    read.put(
        "changes-unknown-state", new EndpointListEvent(8, Kind.CHANGES, List.of(UNKNOWN_STATE)));
    read.put("changes-empty", new EndpointListEvent(Long.MAX_VALUE, Kind.CHANGES, List.of()));
    return read;
  }

  private static Map<String, ByteBuffer> encodedHellos() {
    Map<String, ByteBuffer> written = new LinkedHashMap<>();
    written.put("hello-at-event-41", ChangeLogDecoder.hello(41));
    written.put("hello-for-all-events", ChangeLogDecoder.hello(0));
    return written;
  }

  private static EngineMember member(EngineEndpoint endpoint, String address, int port) {
    try {
      return new EngineMember(
          endpoint, new InetSocketAddress(InetAddress.getByName(address), port));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }

  static Stream<Arguments> frames() {
    return EVENTS.entrySet().stream().map(e -> arguments(e.getKey(), e.getValue()));
  }

  static Stream<Arguments> hellos() {
    return HELLOS.entrySet().stream().map(e -> arguments(e.getKey(), e.getValue()));
  }

  private static Decoder<EndpointListEvent> decoder() {
    return new ChangeLogDecoder(ZONES, KINDS);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("frames")
  void decodesStoredFramesInAnySplit(String name, EndpointListEvent expected) {
    byte[] stored = GoldenHex.read(FOLDER, name);
    assertEquals(
        List.of(expected),
        DecoderAssertions.decodeInAnySplit(stored, ChangeLogGoldenTest::decoder, change -> change));
  }

  @Test
  void decodesConcatenatedStoredFrames() {
    byte[][] stored =
        EVENTS.keySet().stream().map(name -> GoldenHex.read(FOLDER, name)).toArray(byte[][]::new);
    List<EndpointListEvent> read = new ArrayList<>();
    byte[] stream = DecoderAssertions.concat(stored);
    assertNull(decoder().feed(stream, 0, stream.length, read::add));
    assertEquals(List.copyOf(EVENTS.values()), read);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("hellos")
  void encodesHellosToStoredBytes(String name, ByteBuffer written) {
    assertEquals(GoldenHex.hex(GoldenHex.read(FOLDER, name)), GoldenHex.hex(written));
  }

  @Test
  void everyStoredFileIsTested() {
    TreeSet<String> names = new TreeSet<>(EVENTS.keySet());
    names.addAll(HELLOS.keySet());
    assertEquals(names, GoldenHex.names(FOLDER));
  }
}
