package reachloom.revision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import reachloom.revision.RevisionLog.Standing;

class RevisionLogTest {
  private static final int LARGE = Revision.MAX_DOCUMENT_BYTES;

  private static Revision next(Revision before, int variant) {
    return Revision.after(before, Net.document(LARGE, variant), variant, "i0");
  }

  @Test
  void itsBoundsHoldAndWhatIsInForceStays() {
    RevisionLog log = new RevisionLog();
    Revision r = null;
    for (int k = 1; k <= 100; k++) {
      r = next(r, k);
      assertEquals(Standing.NEWER, log.judge(r));
      log.add(r, List.of(), Net.document(LARGE, k));
      if (k == 3) {
        log.inForce(log.get(3));
      }
    }
    assertEquals(100, log.newestNumber());
    assertNotNull(log.held(3, 0), "in force");
    assertEquals(
        4,
        LongStream.rangeClosed(1, 100).filter(n -> log.held(n, 0) != null).count(),
        "64 KiB of documents");
    assertEquals(99, log.heldBelow(100).revision().number());
    assertNull(log.held(100, log.get(100).mark() + 1), "another with that number");
  }

  @Test
  void tellsWhatContradictsIt() {
    RevisionLog log = new RevisionLog();
    Revision one = next(null, 1);
    Revision two = next(one, 2);
    Revision other = next(null, 9);
    Revision afterOther = next(other, 8);
    log.add(two, List.of(), null);
    assertEquals(Standing.HELD, log.judge(two));
    assertEquals(Standing.OLDER, log.judge(one));
    assertEquals(Standing.FORK, log.judge(other), "the one held is not after it");
    assertEquals(Standing.FORK, log.judge(afterOther), "the same number");
    assertEquals(Standing.FORK, log.judge(next(afterOther, 7)), "not after the one held");
    assertEquals(Standing.NEWER, log.judge(next(next(two, 3), 4)), "one between is not known");
    Revision farOther = next(afterOther, 7);
    log.fork(farOther);
    assertEquals(Standing.FORK, log.judge(next(farOther, 6)), "after one that is not taken");
  }
}
