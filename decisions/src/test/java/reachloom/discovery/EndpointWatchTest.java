package reachloom.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import reachloom.discovery.EndpointWatch.Verdict;

class EndpointWatchTest {
  private final EndpointWatch watch = new EndpointWatch(5, 1);

  private Verdict event(long number) {
    return watch.heard(number, false, false);
  }

  private Verdict nothing(long number) {
    return watch.heard(number, false, true);
  }

  @Test
  void eventsInTurnAreTakenAndOlderOnesChangeNothing() {
    assertEquals(Verdict.TAKE, event(6));
    assertEquals(Verdict.SKIP, event(6));
    assertEquals(Verdict.SKIP, event(2));
    assertEquals(Verdict.SKIP, watch.heard(1, true, false), "also where an older list is whole");
    assertEquals(Verdict.SKIP, nothing(3), "nor does a log that says less than before");
    assertEquals(6, watch.last());
    assertEquals(Verdict.TAKE, watch.heard(9, true, false), "a whole list leaves nothing out");
    assertEquals(9, watch.askAfter());
  }

  @Test
  void eventsLeftOutLeadToTheWholeListWhichCountsOnceItIsThere() {
    assertEquals(Verdict.MISSED, event(8));
    assertEquals(0, watch.askAfter());
    watch.asked();
    for (int i = 1; i < 8; i++) {
      assertEquals(Verdict.FOLD, event(i));
      assertEquals(5, watch.last());
    }
    assertEquals(Verdict.WHOLE, event(8));
    assertEquals(8, watch.last());
    assertEquals(Verdict.TAKE, event(9));
    assertEquals(Verdict.MISSED, event(11), "the next time again");
  }

  @Test
  void anAnswerThatBreaksOffIsAskedForFromItsBeginning() {
    event(8);
    watch.asked();
    event(1);
    event(2);
    watch.asked(); // the connection broke
    assertEquals(Verdict.FOLD, event(1));
  }

  @Test
  void aLogThatNumbersWithGapsIsNotAskedEachTime() {
    event(8);
    watch.asked();
    assertEquals(Verdict.FOLD, event(1));
    assertEquals(Verdict.FOLD, event(5));
    assertEquals(Verdict.WHOLE, event(8));
    assertEquals(Verdict.TAKE, event(12));
  }

  @Test
  void aLogThatNoLongerHoldsWhatItToldIsFollowedFromWhereItIs() {
    event(8);
    watch.asked();
    event(1);
    assertEquals(Verdict.SKIP, nothing(1), "it may say so before it goes on");
    assertEquals(Verdict.SKIP, nothing(1));
    assertEquals(5, watch.last(), "the list held stays");
    assertEquals(5, watch.askAfter());
    assertEquals(Verdict.TAKE, event(8));
  }

  @Test
  void dialsComeLaterEachTimeWithinABoundAndNotTogether() {
    EndpointWatch other = new EndpointWatch(5, 2);
    boolean apart = false;
    for (int i = 0; i < 20; i++) {
      long mine = watch.pause();
      apart |= mine != other.pause();
      assertTrue(mine >= 50_000_000L && mine <= 400_000_000L);
    }
    assertTrue(apart);
    nothing(5);
    assertTrue(watch.pause() <= 100_000_000L, "a frame has come since");
  }

  @Test
  void aListToldElsewhereCountsWhereItIsNewer() {
    assertTrue(watch.toldElsewhere(7));
    assertFalse(watch.toldElsewhere(6));
    assertEquals(Verdict.TAKE, event(8));
  }

  @Test
  void aListToldElsewhereThatHoldsWhatWasMissedEndsTheWaitForAllOfThem() {
    assertEquals(Verdict.MISSED, event(8));
    assertTrue(watch.toldElsewhere(10));
    watch.asked();
    assertEquals(10, watch.askAfter());
    assertEquals(Verdict.SKIP, event(8), "the list held does not go back");
    assertEquals(10, watch.last());
    assertEquals(Verdict.TAKE, event(11));
  }

  @Test
  void aListToldElsewhereThatIsOlderThanWhatWasMissedLeavesItAwaited() {
    assertEquals(Verdict.MISSED, event(9));
    assertTrue(watch.toldElsewhere(7));
    watch.asked();
    assertEquals(0, watch.askAfter());
    assertEquals(Verdict.FOLD, event(8));
    assertEquals(Verdict.WHOLE, event(9));
  }

  @Test
  void aWatchThatHasSpokenForLongIsDialledAgainAsSoonAsAYoungOne() {
    for (int second = 0; second < 60; second++) {
      nothing(5);
      assertTrue(watch.pause() <= 100_000_000L, "silent after " + second + " s");
    }
  }

  @Test
  void aDeadWatchIsFoundAndDialledAgainBeforeAllCountsAsTold() {
    long frame = 1_000_000_000L;
    long told = 7 * frame;
    assertTrue(EndpointWatch.MAX_SILENCE > 2 * frame, "frames may be late");
    assertTrue(
        EndpointWatch.MAX_SILENCE + 3 * (EndpointWatch.DIAL_TIMEOUT + 400_000_000L) < told,
        "three dials may fail");
  }
}
