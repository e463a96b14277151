package reachloom.gateway.tables;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reachloom.Decisions.Outcome;

/** Slots with generations, deadlines in one order, and what a broken attempt proves. */
class TablesTest {
  @Test
  void aHandleKeptPastItsEndFindsNothing() {
    Slots<String> slots = new Slots<>(2);
    long a = slots.add("a");
    slots.remove(a);
    long b = slots.add("b");
    assertNotEquals(a, b);
    assertNull(slots.get(a));
    slots.remove(a);
    assertEquals("b", slots.get(b));
    assertEquals(1, slots.size());
    assertNull(slots.get(Slots.NONE));
  }

  @Test
  void aFullTableTakesNoMore() {
    Slots<Integer> slots = new Slots<>(200);
    for (int i = 0; i < 200; i++) {
      assertEquals(i, slots.get(slots.add(i)));
    }
    assertEquals(Slots.NONE, slots.add(200));
    assertEquals(200, slots.all().size());
  }

  @Test
  void deadlinesComeByTimeAndThenInTheOrderSet() {
    Deadlines deadlines = new Deadlines();
    List<String> done = new ArrayList<>();
    deadlines.add(20, () -> done.add("c"));
    deadlines.add(10, () -> done.add("a"));
    deadlines.add(10, () -> done.add("b"));
    Deadlines.Deadline gone = deadlines.add(5, () -> done.add("x"));
    deadlines.cancel(gone);
    deadlines.cancel(gone);
    deadlines.cancel(null);
    assertEquals(10, deadlines.next());
    assertNull(deadlines.poll(9));
    for (Runnable due = deadlines.poll(20); due != null; due = deadlines.poll(20)) {
      due.run();
    }
    assertEquals(List.of("a", "b", "c"), done);
    assertEquals(Long.MAX_VALUE, deadlines.next());
  }

  @Test
  void onlyWhatWasWholeOnTheWireMayHaveRun() {
    assertEquals(Outcome.UNREACHED, Reach.NOT_CONNECTED.broken);
    assertEquals(Outcome.UNREACHED, Reach.NOT_WHOLE.broken);
    // What waits to be written goes out later, before the word that gives it up.
    assertEquals(Outcome.TIMEOUT, Reach.NOT_WHOLE.expired);
    assertEquals(Outcome.UNREACHED, Reach.NOT_CONNECTED.expired);
    assertEquals(Outcome.RESET, Reach.OUT.broken);
    assertEquals(Outcome.TIMEOUT, Reach.OUT.expired);
    assertEquals(Outcome.RESET, Reach.ANSWERING.broken);
  }
}
