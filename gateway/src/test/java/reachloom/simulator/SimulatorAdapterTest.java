package reachloom.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import reachloom.scheduler.QueryScheduler;
import reachloom.scheduler.api.ProgressKind;
import reachloom.scheduler.api.ProgressReport;
import reachloom.scheduler.api.SchedulerActions;
import reachloom.scheduler.api.SchedulerEvents;

/** Replies of the adapter to batches of events, and its handling of invalid input. */
class SimulatorAdapterTest {
  private static final String START =
      "{\"cmd\":\"NewInstance\",\"gatewayId\":\"gateway_0\",\"entropy\":1,"
          + "\"bootInfo\":{\"classes\":[{\"goalTime\":1000000000,\"giveUp\":5000000000,\"worth\":1,"
          + "\"effect\":\"repeatable\",\"unknown\":3}],\"kinds\":[\"k\"]}}";
  private static final String LIST =
      "{\"cmd\":\"DefineList\",\"sheet\":0,\"hosts\":[{\"node\":\"node.NAME\"}]},"
          + "{\"cmd\":\"BackendsChanged\",\"gatewayId\":\"gateway_0\",\"how\":\"restored\",\"generation\":1,"
          + "\"sheet\":0}";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private int status;

  private static String batch(long index, String... items) {
    return "{\"moment\":"
        + index * 1_000_000
        + ",\"batch\":"
        + index
        + ",\"items\":["
        + String.join(",", items)
        + "]}\n";
  }

  private static String order(String handle) {
    return "{\"cmd\":\"Order\",\"gatewayId\":\"gateway_0\",\"handle\":\""
        + handle
        + "\",\"qos\":0,\"patienceLeft\":5000000000,\"novel\":{}}";
  }

  private String[] serve(SimulatorAdapter.SchedulerFactory factory, String... batches)
      throws IOException {
    String input = String.join("", batches);
    status =
        new SimulatorAdapter(new PrintStream(err, true), factory)
            .serve(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out);
    return out.toString(StandardCharsets.UTF_8).split("\n");
  }

  private String[] serve(String... batches) throws IOException {
    return serve(QueryScheduler::new, batches);
  }

  @Test
  void repliesToEachBatchWithItsIndex() throws IOException {
    String[] replies = serve(batch(1), batch(12));
    assertEquals("{\"batch\":1,\"actions\":[]}", replies[0]);
    assertEquals("{\"batch\":12,\"actions\":[]}", replies[1]);
    assertEquals(0, status);
  }

  @Test
  void resolvesReusedListNumbersInEventOrder() throws IOException {
    String[] replies =
        serve(
            batch(
                1,
                START,
                LIST.replace("NAME", "a"),
                order("01"),
                LIST.replace("NAME", "b"),
                order("02")));
    assertTrue(replies[0].contains("\"handle\":\"01\",\"node\":\"node.a\""), replies[0]);
    assertTrue(replies[0].contains("\"handle\":\"02\",\"node\":\"node.b\""), replies[0]);
  }

  @Test
  void restartsWithoutStateAfterPowerOffInSameBatch() throws IOException {
    String off = "{\"cmd\":\"PowerOff\",\"gatewayId\":\"gateway_0\"}";
    String[] replies = serve(batch(1, START, LIST.replace("NAME", "a"), off, START, order("01")));
    assertTrue(!replies[0].contains("Relay"), replies[0]);
  }

  @Test
  void ignoresUnknownInstancesAndQueries() throws IOException {
    String left = "{\"cmd\":\"Left\",\"gatewayId\":\"gateway_0\",\"handle\":\"99\"}";
    String[] replies = serve(batch(1, left, order("01")), batch(2, START, left));
    assertEquals("{\"batch\":1,\"actions\":[]}", replies[0]);
    assertEquals(0, status);
  }

  @Test
  void errorMessageNamesBatch() throws IOException {
    serve(batch(7), "{\"moment\":1,\"batch\":8,\"items\":7}\n", batch(9));
    assertEquals(1, status);
    assertEquals(
        "reachloom: batch 8: 'items' is not an array\n", err.toString(StandardCharsets.UTF_8));
    assertEquals("{\"batch\":7,\"actions\":[]}\n", out.toString(StandardCharsets.UTF_8));
  }

  @Test
  void endsOnInvalidJson() throws IOException {
    serve(batch(3), "{\"moment\":\n");
    assertEquals(1, status);
    assertTrue(
        err.toString(StandardCharsets.UTF_8).startsWith("reachloom: the line after batch 3 "));
  }

  @Test
  void skipsUnknownEventsAndReportsThemOnce() throws IOException {
    String unknown = "{\"cmd\":\"Unknown\",\"gatewayId\":\"gateway_0\"}";
    serve(batch(1, START, unknown, unknown));
    assertEquals(0, status);
    assertEquals(
        "reachloom: event 'Unknown' is not known and skipped\n",
        err.toString(StandardCharsets.UTF_8));
  }

  @Test
  void reportsFailureOfInstanceWhoseSchedulerThrows() throws IOException {
    String[] replies =
        serve(SimulatorAdapterTest::failingScheduler, batch(1, START, order("01"), order("02")));
    assertEquals(
        "{\"batch\":1,\"actions\":[{\"cmd\":\"BailOut\",\"gatewayId\":\"gateway_0\","
            + "\"words\":\"java.lang.IllegalStateException: broken on purpose\"}]}",
        replies[0]);
    assertTrue(err.toString(StandardCharsets.UTF_8).contains("at reachloom."));
  }

  @Test
  void distinguishesLoadWaitFromMemoryWait() throws IOException {
    List<ProgressKind> kinds = new ArrayList<>();
    String progress =
        "{\"cmd\":\"Progress\",\"gatewayId\":\"gateway_0\",\"handle\":\"01\","
            + "\"sort\":3,\"amount\":";
    serve(
        actions ->
            events(
                (method, arguments) -> {
                  if (method.equals("onProgress")) {
                    kinds.add(((ProgressReport) arguments[1]).kind());
                  }
                }),
        batch(1, START, progress + "1}", progress + "2}"));
    assertEquals(List.of(ProgressKind.MEMORY_WAIT, ProgressKind.LOAD_WAIT), kinds);
  }

  private static SchedulerEvents failingScheduler(SchedulerActions actions) {
    return events(
        (method, arguments) -> {
          if (method.equals("onQuery")) {
            throw new IllegalStateException("broken on purpose");
          }
        });
  }

  private static SchedulerEvents events(BiConsumer<String, Object[]> listener) {
    return (SchedulerEvents)
        Proxy.newProxyInstance(
            SchedulerEvents.class.getClassLoader(),
            new Class<?>[] {SchedulerEvents.class},
            (proxy, method, arguments) -> {
              listener.accept(method.getName(), arguments);
              return null;
            });
  }
}
