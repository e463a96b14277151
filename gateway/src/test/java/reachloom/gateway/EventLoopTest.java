package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reachloom.gateway.wire.ConnectionInput;

/** The order of tasks and deadlines, with and without a stall of the process. */
@Timeout(30)
class EventLoopTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ConnectionInput input = ConnectionInput.of(new DummySession());

  @Test
  void afterStallRunsFirstTasksThenOthersThenDeadlines() {
    EventLoop loop = new EventLoop();
    List<String> order = new ArrayList<>();
    // Late enough that it is not due in the iteration that stalls, also on a busy machine.
    long deadlineNanos = loop.now() + 500 * NANOS_PER_MILLI;
    loop.deadlines().add(deadlineNanos, () -> order.add("deadline"));
    loop.deadlines()
        .add(
            loop.now() + NANOS_PER_MILLI,
            () -> {
              // Simulates a stall, after which messages that arrived meanwhile are read.
              long until = deadlineNanos + 30 * NANOS_PER_MILLI;
              while (loop.now() < until) {
                Thread.onSpinWait();
              }
              loop.post(0, () -> order.add("request"));
              loop.post(0, () -> order.add("answer"));
              loop.postFirst(input, 0, () -> order.add("list"));
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
    loop.postFirst(input, 0, () -> order.add("list"));
    loop.post(0, loop::end);
    loop.run();
    assertEquals(List.of("request", "list"), order);
  }
}
