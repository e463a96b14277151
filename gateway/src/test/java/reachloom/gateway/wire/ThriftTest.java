package reachloom.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Decoding and encoding of Thrift messages, and rejection of malformed ones. */
class ThriftTest {
  private static ByteBuffer head(String method, int type, int seq) {
    return text(ByteBuffer.allocate(512).putInt(0x80010000 | type), method).putInt(seq);
  }

  private static ByteBuffer text(ByteBuffer out, String text) {
    byte[] b = text.getBytes(StandardCharsets.UTF_8);
    return out.putInt(b.length).put(b);
  }

  private static byte[] end(ByteBuffer out) {
    return Arrays.copyOf(out.array(), out.position());
  }

  private static byte[] execute(int seq) {
    ByteBuffer out =
        head("execute", 1, seq)
            .put((byte) 13)
            .putShort((short) 1)
            .put((byte) 11)
            .put((byte) 11)
            .putInt(1);
    text(text(out, "verb"), "report").put((byte) 11).putShort((short) 2);
    return end(text(out, "select 1").put((byte) 0));
  }

  private static byte[] frame(byte[] message) {
    return ByteBuffer.allocate(4 + message.length).putInt(message.length).put(message).array();
  }

  @Test
  void decodesCalls() {
    ClientCall.Execute call =
        assertInstanceOf(ClientCall.Execute.class, ThriftReader.read(execute(7)));
    assertEquals(7, call.seq());
    assertEquals(Map.of("verb", "report"), call.fields());
    assertEquals("select 1", call.statement().text());
    byte[] interrupt =
        end(head("interrupt", 4, 8).put((byte) 8).putShort((short) 1).putInt(7).put((byte) 0));
    assertEquals(new ClientCall.Interrupt(8, 7), ThriftReader.read(interrupt));
    byte[] check =
        end(head("check", 1, 9).put((byte) 2).putShort((short) 1).put((byte) 1).put((byte) 0));
    assertEquals(new ClientCall.Check(9), ThriftReader.read(check));
  }

  @Test
  void skipsUnknownFields() {
    ByteBuffer out =
        head("check", 1, 1)
            .put((byte) 12)
            .putShort((short) 9)
            .put((byte) 15)
            .putShort((short) 1)
            .put((byte) 10)
            .putInt(2)
            .putLong(1)
            .putLong(2)
            .put((byte) 0)
            .put((byte) 0);
    assertEquals(new ClientCall.Check(1), ThriftReader.read(end(out)));
  }

  @Test
  void unusableCallKeepsSequenceNumber() {
    ClientCall unknown = ThriftReader.read(end(head("drop", 1, 3).put((byte) 0)));
    assertEquals(
        ThriftReader.UNKNOWN_METHOD, assertInstanceOf(ClientCall.Unusable.class, unknown).type());
    assertEquals(3, unknown.seq());
    byte[] wrong =
        end(head("execute", 1, 4).put((byte) 8).putShort((short) 1).putInt(5).put((byte) 0));
    assertEquals(4, assertInstanceOf(ClientCall.Unusable.class, ThriftReader.read(wrong)).seq());
    byte[] noText =
        end(
            head("execute", 1, 5)
                .put((byte) 13)
                .putShort((short) 1)
                .put((byte) 11)
                .put((byte) 8)
                .putInt(1)
                .putInt(0)
                .putInt(2)
                .put((byte) 0));
    assertInstanceOf(ClientCall.Unusable.class, ThriftReader.read(noText));
  }

  @Test
  void rejectsCallTruncatedAtAnyByte() {
    byte[] complete = execute(7);
    for (int length = 0; length < complete.length; length++) {
      assertInstanceOf(ClientCall.Broken.class, ThriftReader.read(Arrays.copyOf(complete, length)));
    }
    assertInstanceOf(
        ClientCall.Broken.class, ThriftReader.read(Arrays.copyOf(complete, complete.length + 1)));
  }

  @Test
  void rejectsOtherVersionHugeSizesAndDeepNesting() {
    byte[] otherVersion =
        end(text(ByteBuffer.allocate(64), "check").put((byte) 1).putInt(1).put((byte) 0));
    assertInstanceOf(ClientCall.Broken.class, ThriftReader.read(otherVersion));
    byte[] huge =
        end(
            head("execute", 1, 1)
                .put((byte) 13)
                .putShort((short) 1)
                .put((byte) 11)
                .put((byte) 11)
                .putInt(Integer.MAX_VALUE));
    assertInstanceOf(ClientCall.Broken.class, ThriftReader.read(huge));
    byte[] negative = end(head("execute", 1, 1).put((byte) 11).putShort((short) 2).putInt(-5));
    assertInstanceOf(ClientCall.Broken.class, ThriftReader.read(negative));
    ByteBuffer deep = head("check", 1, 1);
    for (int i = 0; i < 100; i++) {
      deep.put((byte) 12).putShort((short) 1);
    }
    assertInstanceOf(ClientCall.Broken.class, ThriftReader.read(end(deep)));
  }

  @Test
  void corruptedCallNeverThrows() {
    Random random = new Random(5);
    byte[] complete = execute(7);
    for (int round = 0; round < 20_000; round++) {
      byte[] corrupted = complete.clone();
      for (int i = 0; i <= random.nextInt(3); i++) {
        corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
      }
      assertNotNull(ThriftReader.read(corrupted));
    }
  }

  @Test
  void decodesFramesInAnySplit() {
    byte[] stream =
        DecoderAssertions.concat(frame(execute(1)), frame(execute(2)), frame(new byte[2000]));
    List<Integer> lengths =
        DecoderAssertions.decodeInAnySplit(stream, () -> new FrameDecoder(1, 4096), f -> f.length);
    assertEquals(List.of(execute(1).length, execute(2).length, 2000), lengths);
  }

  @Test
  void rejectsFrameLengthOutOfBounds() {
    assertNotNull(DecoderAssertions.faultOf(new byte[] {0, 0, 0, 0}, new FrameDecoder(1, 100)));
    assertNotNull(DecoderAssertions.faultOf(new byte[] {0, 0, 0, 101}, new FrameDecoder(1, 100)));
    assertNotNull(DecoderAssertions.faultOf(new byte[] {-1, -1, -1, -1}, new FrameDecoder(1, 100)));
  }

  @Test
  void responseContainsPagesInOrder() {
    ByteBuffer out =
        ThriftWriter.answer(
            7, List.of(new Bytes("xab".getBytes(), 1, 2), Bytes.of("cd".getBytes())));
    assertEquals(out.remaining() - 4, out.getInt());
    byte[] expected =
        end(
            text(
                    head("execute", 2, 7)
                        .put((byte) 12)
                        .putShort((short) 0)
                        .put((byte) 11)
                        .putShort((short) 1),
                    "abcd")
                .put((byte) 13)
                .putShort((short) 2)
                .put((byte) 11)
                .put((byte) 11)
                .putInt(0)
                .put((byte) 2)
                .putShort((short) 3)
                .put((byte) 1)
                .put((byte) 0)
                .put((byte) 0));
    byte[] written = new byte[out.remaining()];
    out.get(written);
    assertArrayEquals(expected, written);
  }

  @Test
  void rejectionsAndFailuresAreDeclaredExceptions() {
    for (int id = 1; id <= 2; id++) {
      ByteBuffer out = id == 1 ? ThriftWriter.busy(9) : ThriftWriter.failed(9);
      out.getInt();
      byte[] expected =
          end(
              head("execute", 2, 9)
                  .put((byte) 12)
                  .putShort((short) id)
                  .put((byte) 13)
                  .putShort((short) 1)
                  .put((byte) 11)
                  .put((byte) 11)
                  .putInt(0)
                  .put((byte) 0)
                  .put((byte) 0));
      byte[] written = new byte[out.remaining()];
      out.get(written);
      assertArrayEquals(expected, written);
    }
  }
}
