package reachloom.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class EventLoopTest {
  private static final long MILLISECOND = 1_000_000;

  @Test
  void afterAStandstillTheListComesBeforeWhatIsDecidedByItAndBothBeforeDeadlines() {
    EventLoop loop = new EventLoop();
    List<String> order = new ArrayList<>();
    loop.deadlines().add(loop.now() + 30 * MILLISECOND, () -> order.add("deadline"));
    loop.deadlines()
        .add(
            loop.now() + MILLISECOND,
            () -> {
              // The process stands still, and finds afterwards what has come meanwhile, as it was
              // read.
              long until = loop.now() + 60 * MILLISECOND;
              while (loop.now() < until) {
                Thread.onSpinWait();
              }
              loop.post(0, () -> order.add("request"));
              loop.post(0, () -> order.add("answer"));
              loop.postFirst(0, () -> order.add("list"));
              loop.deadlines().add(loop.now() + 40 * MILLISECOND, loop::end);
            });
    loop.run();
    assertEquals(List.of("list", "request", "answer", "deadline"), order);
  }

  @Test
  void withoutAStandstillEachGoesInItsTurn() {
    EventLoop loop = new EventLoop();
    List<String> order = new ArrayList<>();
    loop.post(0, () -> order.add("request"));
    loop.postFirst(0, () -> order.add("list"));
    loop.post(0, loop::end);
    loop.run();
    assertEquals(List.of("request", "list"), order);
  }
}
