package reachloom.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;
import reachloom.scheduler.api.EngineState;

/** Frames of the change log: events in any split, unknown states and malformed frames. */
class ChangeLogDecoderTest {
  private static ByteBuffer frame(long number, int kind, int records) {
    return ByteBuffer.allocate(13 + 27 * records)
        .putInt(9 + 27 * records)
        .putLong(number)
        .put((byte) kind);
  }

  private static ByteBuffer record(ByteBuffer out, int id, int state, int zone, int kind) {
    return out.putInt(id)
        .put(new byte[] {127, 1, 2, 3})
        .putShort((short) 41_000)
        .put((byte) state)
        .put((byte) zone)
        .put((byte) kind)
        .putShort((short) 2)
        .putInt(1500)
        .putLong(7);
  }

  private static Decoder<EndpointListEvent> decoder() {
    return new ChangeLogDecoder(3, 2);
  }

  @Test
  void decodesEventsInAnySplit() {
    byte[] stream =
        DecoderAssertions.concat(
            frame(0, 0, 0).array(),
            record(frame(4, 1, 1), 0xc41f7a, 0, 2, 1).array(),
            record(record(frame(5, 2, 2), 1, 1, 0, 0), 2, 2, 0, 0).array());
    List<EndpointListEvent> read =
        DecoderAssertions.decodeInAnySplit(stream, ChangeLogDecoderTest::decoder, c -> c);
    assertEquals(
        List.of(true, false, false), read.stream().map(EndpointListEvent::isHeartbeat).toList());
    assertEquals(
        List.of(false, true, false), read.stream().map(EndpointListEvent::isComplete).toList());
    var member = read.get(1).members().get(0);
    assertEquals("s-00c41f7a", member.endpoint().name());
    assertEquals("/127.1.2.3:41000", member.address().toString());
    assertEquals(1.5, member.endpoint().weight());
    assertEquals(7_000_000, member.endpoint().incarnation());
    assertEquals(2, member.endpoint().cell());
    assertEquals(
        List.of(EngineState.DRAINING, EngineState.REMOVED),
        read.get(2).members().stream().map(m -> m.endpoint().state()).toList());
  }

  @Test
  void unknownStateCountsAsDraining() {
    List<EndpointListEvent> read =
        DecoderAssertions.decodeInAnySplit(
            record(frame(5, 2, 1), 1, 9, 0, 0).array(), ChangeLogDecoderTest::decoder, c -> c);
    assertEquals(EngineState.DRAINING, read.get(0).members().get(0).endpoint().state());
  }

  @Test
  void rejectsMalformedFrames() {
    assertNotNull(DecoderAssertions.faultOf(ByteBuffer.allocate(4).putInt(8).array(), decoder()));
    assertNotNull(DecoderAssertions.faultOf(ByteBuffer.allocate(4).putInt(-1).array(), decoder()));
    assertNotNull(DecoderAssertions.faultOf(frame(1, 3, 0).array(), decoder()));
    assertNotNull(DecoderAssertions.faultOf(frame(1, 0, 1).array(), decoder()));
    assertNotNull(DecoderAssertions.faultOf(record(frame(1, 2, 1), 1, 0, 3, 0).array(), decoder()));
    assertNotNull(DecoderAssertions.faultOf(record(frame(1, 2, 1), 1, 0, 0, 2).array(), decoder()));
    ByteBuffer truncated = ByteBuffer.allocate(4 + 9 + 26).putInt(9 + 26).putLong(1).put((byte) 2);
    assertNotNull(DecoderAssertions.faultOf(truncated.array(), decoder()));
  }

  @Test
  void helloContainsLastEventNumber() {
    assertEquals(ByteBuffer.allocate(8).putLong(41).flip(), ChangeLogDecoder.hello(41));
  }
}
