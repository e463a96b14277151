package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The order of tasks and deadlines, with and without a stall of the process. */
@Timeout(30)
class EventLoopTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  @Test
  void afterStallRunsFirstTasksThenOthersThenDeadlines() {
    EventLoop loop = new EventLoop();
    List<String> order = new ArrayList<>();
    loop.deadlines().add(loop.now() + 30 * NANOS_PER_MILLI, () -> order.add("deadline"));
    loop.deadlines()
        .add(
            loop.now() + NANOS_PER_MILLI,
            () -> {
              // Simulates a stall, after which messages that arrived meanwhile are read.
              long until = loop.now() + 60 * NANOS_PER_MILLI;
              while (loop.now() < until) {
                Thread.onSpinWait();
              }
              loop.post(0, () -> order.add("request"));
              loop.post(0, () -> order.add("answer"));
              loop.postFirst(0, () -> order.add("list"));
              loop.deadlines().add(loop.now() + 40 * NANOS_PER_MILLI, loop::end);
            });
    loop.run();
    assertEquals(List.of("list", "request", "answer", "deadline"), order);
  }

  @Test
  void runsTasksInPostOrderWithoutStall() {
    EventLoop loop = new EventLoop();
    List<String> order = new ArrayList<>();
    loop.post(0, () -> order.add("request"));
    loop.postFirst(0, () -> order.add("list"));
    loop.post(0, loop::end);
    loop.run();
    assertEquals(List.of("request", "list"), order);
  }
}
