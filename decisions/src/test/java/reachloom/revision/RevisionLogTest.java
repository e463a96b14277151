package reachloom.revision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import reachloom.revision.RevisionLog.Classification;

/** Eviction of revisions from the log, and classification of proved revisions. */
class RevisionLogTest {
  private static final int DOCUMENT_BYTES = Revision.MAX_DOCUMENT_BYTES;
  private static final long NOW_NANOS = 1_000;

  private static byte[] document(int variant) {
    return SimulatedNetwork.document(DOCUMENT_BYTES, variant);
  }

  private static Revision next(Revision before, int variant) {
    return Revision.after(before, document(variant), variant, "i0");
  }

  @Test
  void dropsOldRevisionsButKeepsTheOneInForce() {
    RevisionLog log = new RevisionLog();
    Revision revision = null;
    for (int k = 1; k <= 100; k++) {
      revision = next(revision, k);
      assertEquals(Classification.NEWER, log.classify(revision));
      log.add(NOW_NANOS, revision, List.of(), document(k));
      if (k == 3) {
        log.setInForce(log.get(3).orElseThrow());
      }
    }
    assertEquals(100, log.newestNumber());
    assertTrue(log.withDocument(3, 0).isPresent(), "in force");
    assertEquals(
        4,
        LongStream.rangeClosed(1, 100).filter(n -> log.withDocument(n, 0).isPresent()).count(),
        "64 KiB of documents");
    assertEquals(99, log.newestWithDocumentBelow(100).orElseThrow().number());
    long otherFingerprint = log.get(100).orElseThrow().fingerprint() + 1;
    assertEquals(
        Optional.empty(),
        log.withDocument(100, otherFingerprint),
        "another revision with that number");
  }

  @Test
  void classifiesConflictingRevisionsAsForks() {
    RevisionLog log = new RevisionLog();
    Revision one = next(null, 1);
    Revision two = next(one, 2);
    Revision other = next(null, 9);
    Revision afterOther = next(other, 8);
    log.add(NOW_NANOS, two, List.of(), null);
    assertEquals(Classification.KNOWN, log.classify(two));
    assertEquals(Classification.OLDER, log.classify(one));
    assertEquals(Classification.FORK, log.classify(other), "the held revision does not follow it");
    assertEquals(Classification.FORK, log.classify(afterOther), "the same number");
    assertEquals(
        Classification.FORK,
        log.classify(next(afterOther, 7)),
        "does not follow the held revision");
    assertEquals(
        Classification.NEWER,
        log.classify(next(next(two, 3), 4)),
        "the revision before it is not known");
    Revision farOther = next(afterOther, 7);
    log.addFork(farOther);
    assertEquals(Classification.FORK, log.classify(next(farOther, 6)), "after a fork");
  }
}
