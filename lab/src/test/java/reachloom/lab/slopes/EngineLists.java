package reachloom.lab.slopes;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.List;
import reachloom.config.GatewayConfig;

/** Builds engine lists of a given length, as a configuration and as change log frames. */
final class EngineLists {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int ZONES = 10;
  private static final int HEADER_BYTES = 13; // length, number, kind
  private static final int RECORD_BYTES = 27;
  private static final byte FULL_LIST = 1;
  private static final byte CHANGES = 2;
  private static final int PORT = 41_000;
  private static final long STARTED_MS = 1_700_000_000_000L;

  private EngineLists() {}

  /** Returns a configuration file with a number of engines in {@code known}. */
  static byte[] configuration(int engines) throws IOException {
    try (InputStream sample = GatewayConfig.class.getResourceAsStream("sample.json")) {
      ObjectNode root = (ObjectNode) JSON.readTree(sample);
      ArrayNode zones = ((ObjectNode) root.get("settings")).putArray("zones");
      for (int z = 0; z < ZONES; z++) {
        zones.add("zone-" + z);
      }
      ObjectNode known = root.putObject("known").put("seq", 1);
      ObjectNode fleet = known.putArray("results").addObject().put("seq", 1).putObject("fleet");
      ArrayNode hosts = fleet.put("seq", 1).put("whole", true).putArray("hosts");
      for (int i = 0; i < engines; i++) {
        hosts
            .addObject()
            .put("host", String.format("s-%08x", i + 1))
            .put("dial", "10." + i % ZONES + "." + i / 250 + "." + (i % 250 + 1) + ":" + PORT)
            .put("site", "zone-" + i % ZONES)
            .put("class", "usual")
            .put("block", 0)
            .put("health", "in_service")
            .put("share", 1)
            .put("born_ms", STARTED_MS);
      }
      return JSON.writeValueAsBytes(root);
    }
  }

  /** Returns the number of bytes of {@code known}. */
  static int knownBytes(byte[] configuration) throws IOException {
    return JSON.writeValueAsBytes(JSON.readTree(configuration).get("known")).length;
  }

  /** Returns a frame with the full list. */
  static byte[] fullList(long number, int engines) {
    return frame(number, FULL_LIST, 0, engines, STARTED_MS);
  }

  /** Returns a frame with one engine that restarted. */
  static byte[] singleChange(long number, int engine) {
    return frame(number, CHANGES, engine, 1, STARTED_MS + number);
  }

  private static byte[] frame(long number, byte kind, int first, int records, long startedMs) {
    ByteBuffer out =
        ByteBuffer.allocate(HEADER_BYTES + RECORD_BYTES * records)
            .putInt(HEADER_BYTES - Integer.BYTES + RECORD_BYTES * records)
            .putLong(number)
            .put(kind);
    for (int i = first; i < first + records; i++) {
      out.putInt(i + 1)
          .put(new byte[] {10, (byte) (i % ZONES), (byte) (i / 250), (byte) (i % 250 + 1)})
          .putShort((short) PORT)
          .put((byte) 0)
          .put((byte) (i % ZONES))
          .put((byte) 0)
          .putShort((short) 0)
          .putInt(1_000)
          .putLong(startedMs);
    }
    return out.array();
  }

  /** Returns the numbers of zones and of engine kinds that the frames use. */
  static List<Integer> zoneAndKindCounts() {
    return List.of(ZONES, 1);
  }
}
