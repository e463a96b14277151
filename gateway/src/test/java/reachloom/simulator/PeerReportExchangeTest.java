package reachloom.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reachloom.scheduler.QueryScheduler;

/**
 * Peer reports in messages of the simulator: which are sent, how received ones are handled, and
 * engines whose process is replaced.
 */
class PeerReportExchangeTest {
  private static final long SECOND = 1_000_000_000;
  private final List<String> batches = new ArrayList<>();

  private void batch(long at, String... items) {
    batches.add(
        "{\"moment\":"
            + at
            + ",\"batch\":"
            + (batches.size() + 1)
            + ",\"items\":["
            + String.join(",", items)
            + "]}");
  }

  private static String newInstance(int selfIndex, boolean peers, double price) {
    return "{\"cmd\":\"NewInstance\",\"gatewayId\":\"g"
        + selfIndex
        + "\",\"entropy\":1,\"bootInfo\":{"
        + "\"balancers\":3,\"selfIndex\":"
        + selfIndex
        + ",\"limits\":{\"peers\":"
        + peers
        + ",\"maxAttempts\":3},\"deductions\":{\"peer\":"
        + price
        + "},\"classes\":["
        + "{\"effect\":\"repeatable\",\"dedupScope\":\"all\",\"giveUp\":5000000000,"
        + "\"goalTime\":1000000000,\"worth\":1}]}}";
  }

  private static String defineList(int sheet, long since, String state) {
    return "{\"cmd\":\"DefineList\",\"sheet\":"
        + sheet
        + ",\"hosts\":[{\"node\":\"e\",\"state\":\""
        + state
        + "\",\"since\":"
        + since
        + "}]}";
  }

  private static String backendsChanged(int sheet, String how) {
    return "{\"cmd\":\"BackendsChanged\",\"gatewayId\":\"g0\",\"how\":\""
        + how
        + "\",\"sheet\":"
        + sheet
        + "}";
  }

  private static String deadlineHit() {
    return "{\"cmd\":\"DeadlineHit\",\"gatewayId\":\"g0\",\"nonce\":0}";
  }

  private static String query(int number, String ending) {
    String id = String.format("%016x", number);
    return "{\"cmd\":\"Order\",\"gatewayId\":\"g0\",\"handle\":\""
        + id
        + "\",\"patienceLeft\":5000000000},"
        + "{\"cmd\":\"Finished\",\"gatewayId\":\"g0\",\"handle\":\""
        + id
        + "\",\"node\":\"e\",\"sendNo\":0,"
        + "\"ending\":\""
        + ending
        + "\",\"spent\":1000000}";
  }

  private List<JsonNode> publishedMessages() throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    byte[] in = (String.join("\n", batches) + "\n").getBytes(StandardCharsets.UTF_8);
    SimulatorAdapterProbe.serve(
        QueryScheduler::new, new ByteArrayInputStream(in), out, new PrintStream(err, true));
    assertEquals("", err.toString());
    List<JsonNode> published = new ArrayList<>();
    for (String line : out.toString(StandardCharsets.UTF_8).split("\n")) {
      assertFalse(line.contains("BailOut"), line);
      new ObjectMapper()
          .readTree(line)
          .path("actions")
          .forEach(
              a -> {
                if (a.path("cmd").asText().equals("Publish")) {
                  published.add(a);
                }
              });
    }
    batches.clear();
    return published;
  }

  private void addBatchesWithTimeouts(boolean peers, double price) {
    batch(SECOND, defineList(1, 0, "up"), newInstance(0, peers, price), backendsChanged(1, "full"));
    batch(2 * SECOND, query(1, "T"));
    batch(2 * SECOND + 1, query(2, "T"));
    batch(3 * SECOND, deadlineHit());
  }

  @Test
  void publishesFailuresIfAllowedAndWorthThePrice() throws Exception {
    addBatchesWithTimeouts(true, 0);
    List<JsonNode> sent = publishedMessages();
    assertTrue(!sent.isEmpty() && sent.size() <= 2, sent.toString());
    assertTrue(sent.get(0).path("peer").asInt() > 0, "not to itself");
    assertTrue(sent.get(0).path("raw").binaryValue().length <= 256);
    addBatchesWithTimeouts(false, 0);
    assertEquals(List.of(), publishedMessages());
    addBatchesWithTimeouts(true, 0.001);
    assertEquals(List.of(), publishedMessages());
  }

  @Test
  void ignoresReportsOnReplacedAndRemovedEngines() throws Exception {
    addBatchesWithTimeouts(true, 0);
    String raw = publishedMessages().get(0).path("raw").asText();
    String message =
        "{\"cmd\":\"NeighbourSays\",\"gatewayId\":\"g0\",\"neighbour\":1,\"raw\":\"" + raw + "\"}";
    batch(SECOND, defineList(1, 0, "up"), newInstance(0, true, 0), backendsChanged(1, "full"));
    batch(
        2 * SECOND,
        defineList(2, SECOND, "up"),
        backendsChanged(2, "update"),
        message,
        deadlineHit());
    batch(
        3 * SECOND,
        defineList(3, SECOND, "removed"),
        backendsChanged(3, "update"),
        message,
        deadlineHit());
    batch(
        4 * SECOND,
        "{\"cmd\":\"NeighbourSays\",\"gatewayId\":\"g0\",\"neighbour\":2,\"raw\":\"AAAA\"}");
    assertEquals(List.of(), publishedMessages());
  }
}
