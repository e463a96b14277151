package reachloom.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Responses of engines in any split, malformed responses, and the encoding of commands. */
class EngineResponseDecoderTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String view(EngineResponse a) {
    return a.id()
        + "|"
        + a.status().wireName()
        + "|"
        + new java.util.TreeMap<>(a.fields())
        + "|"
        + new String(a.body(), StandardCharsets.ISO_8859_1);
  }

  @Test
  void decodesResponsesInAnySplit() {
    byte[] stream =
        bytes(
            "7f OK fetches=2,effort=12,high=3.5 7\r\na\tb\r\nc\n\r\n"
                + "7f NOTE detail=so_far,figure=0.25 0\r\n\r\n"
                + "p1 UP use=util:0.5;queue:2 0\r\n\r\n"
                + "8a BUSY - 0\r\n\r\n"
                + "8b STRANGE - 3\r\nxyz\r\n");
    assertEquals(
        List.of(
            "7f|OK|{effort=12, fetches=2, high=3.5}|a\tb\r\nc\n",
            "7f|NOTE|{detail=so_far, figure=0.25}|",
            "p1|UP|{use=util:0.5;queue:2}|",
            "8a|BUSY|{}|",
            "8b|OTHER|{}|xyz"),
        DecoderAssertions.decodeInAnySplit(
            stream, EngineResponseDecoder::new, EngineResponseDecoderTest::view));
  }

  @Test
  void rejectsMalformedResponses() {
    for (String bad :
        List.of(
            "7f OK - -1\r\n",
            "7f OK - 99999999999999999999\r\n",
            "7f OK - 70000\r\n",
            "7f OK -\r\n",
            "\r\n",
            "7f OK - 1\n",
            "7f OK - 1\r\nabc",
            "7f OK - x\r\n",
            "x".repeat(5000))) {
      assertNotNull(DecoderAssertions.faultOf(bytes(bad), new EngineResponseDecoder()), bad);
    }
  }

  @Test
  void ignoresMalformedFields() {
    List<EngineResponse> read = new ArrayList<>();
    byte[] stream = bytes("1 OK =x,novalue,fetches=1 0\r\n\r\n");
    assertNull(new EngineResponseDecoder().feed(stream, 0, stream.length, read::add));
    assertEquals(Map.of("fetches", "1"), read.get(0).fields());
  }

  @Test
  void randomBytesNeverThrow() {
    Random random = new Random(7);
    for (int round = 0; round < 2_000; round++) {
      byte[] garbage = new byte[random.nextInt(200)];
      random.nextBytes(garbage);
      DecoderAssertions.faultOf(garbage, new EngineResponseDecoder());
    }
  }

  @Test
  void encodesCommands() {
    Bytes statement = new Bytes(bytes("xxselect 1yy"), 2, 8);
    assertEquals(
        "ASK 7f queue=report,budget=150,uniq=k1,weight=3 8\r\nselect 1\r\n",
        text(EngineCommandWriter.run("7f", "report", 150, "k1", 3, statement)));
    assertEquals(
        "ASK 7f queue=report,budget=150 8\r\nselect 1\r\n",
        text(EngineCommandWriter.run("7f", "report", 150, null, 1, statement)));
    assertEquals("QUIT 7f\r\n", text(EngineCommandWriter.cancel("7f")));
    assertEquals("PRIO 7f 0\r\n", text(EngineCommandWriter.setPriority("7f", 0)));
    assertEquals("NEXT 7f 2\r\n", text(EngineCommandWriter.fetchPage("7f", 2)));
    assertEquals("FREE 7f\r\n", text(EngineCommandWriter.releaseResult("7f")));
    assertEquals("INFO p1\r\n", text(EngineCommandWriter.checkHealth("p1", true)));
    assertEquals("NOOP p1\r\n", text(EngineCommandWriter.checkHealth("p1", false)));
  }

  private static String text(ByteBuffer bytes) {
    return StandardCharsets.ISO_8859_1.decode(bytes).toString();
  }
}
