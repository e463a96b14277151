package reachloom.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What is refused before a signature is looked at. */
class DatagramRateLimiterTest {
  private static final long SECOND = 1_000_000_000;

  private final DatagramRateLimiter guard = new DatagramRateLimiter(SECOND);
  private long now = 1_000 * SECOND;

  private RejectionReason admit(long source, boolean member, long time, long seq) {
    return guard.admit(now, source, member, true, false, "p", time, seq);
  }

  @Test
  void clocksTenSecondsApartAreBorneAnHourIsNot() {
    assertNull(admit(1, true, now - 10 * SECOND, 1));
    assertNull(admit(1, true, now + 10 * SECOND, 2));
    assertEquals(RejectionReason.TIME, admit(1, true, now - 3_600 * SECOND, 3));
    assertEquals(RejectionReason.TIME, admit(1, true, now + 3_600 * SECOND, 4));
    assertEquals(2L, guard.rejections().get(RejectionReason.TIME));
  }

  @Test
  void aNumberIsTakenOnceAlsoOutOfOrder() {
    assertTrue(guard.acceptSequenceNumber("p", 100));
    assertTrue(guard.acceptSequenceNumber("p", 103));
    assertTrue(guard.acceptSequenceNumber("p", 101));
    assertEquals(RejectionReason.REPLAYED, admit(1, true, now, 101));
    assertEquals(RejectionReason.REPLAYED, admit(1, true, now, 103));
    assertNull(admit(1, true, now, 102));
    assertFalse(guard.acceptSequenceNumber("p", 100));
    assertTrue(guard.acceptSequenceNumber("p", 10_000));
    assertEquals(RejectionReason.REPLAYED, admit(1, true, now, 102), "too far behind to be known");
    assertNull(admit(1, true, now, 10_001));
    assertTrue(guard.acceptSequenceNumber("q", 100), "another sender counts for itself");
  }

  @Test
  void aFloodFromStrangersLeavesMembersAlone() {
    int strangers = 0;
    for (int i = 0; i < 20_000; i++) {
      now += SECOND / 20_000;
      strangers += guard.admit(now, i, false, true, false, "p", now, i) == null ? 1 : 0;
      if (i % 1_000 == 0) {
        assertNull(guard.admit(now, 1_000_000, true, true, false, "m", now, i));
      }
    }
    assertTrue(strangers <= 101, strangers + " signatures to check in a second");
  }

  @Test
  void aFloodFromOneAddressLeavesThoseWhoWantToJoinAlone() {
    int joined = 0;
    for (int i = 0; i < 20_000; i++) {
      now += SECOND / 20_000;
      guard.admit(now, 5, false, true, false, "p", now, i);
      if (i % 1_000 == 0) {
        joined += guard.admit(now, 100 + i, false, false, true, "new" + i, now, i) == null ? 1 : 0;
      }
    }
    assertEquals(20, joined);
  }

  @Test
  void oneMembersFloodIsItsOwn() {
    int taken = 0;
    for (int i = 0; i < 1_000; i++) {
      taken += admit(5, true, now, i) == null ? 1 : 0;
    }
    assertTrue(taken <= 20, taken + "");
    assertNull(guard.admit(now, 6, true, true, false, "q", now, 1));
  }

  @Test
  void membersThatProbeOftenHaveRoomForIt() {
    DatagramRateLimiter quick = new DatagramRateLimiter(SECOND / 10);
    for (int i = 0; i < 600; i++) { // six packets a period, a minute long
      now += SECOND / 60;
      assertNull(quick.admit(now, 5, true, true, false, "p", now, i));
    }
  }

  @Test
  void whoIsNotKnownHasToBringItsCertificate() {
    assertEquals(RejectionReason.UNKNOWN, guard.admit(now, 1, false, false, false, "p", now, 1));
    assertNull(guard.admit(now, 1, false, false, true, "p", now, 1));
  }

  @Test
  void membersThatPassDocumentsOnMaySayMoreInASecond() {
    DatagramRateLimiter busy = new DatagramRateLimiter(SECOND, true);
    int taken = 0;
    int plain = 0;
    for (int i = 0; i < 200; i++) {
      taken += busy.admit(now, 1, true, true, false, "p", now, i) == null ? 1 : 0;
      plain += admit(1, true, now, i) == null ? 1 : 0;
    }
    assertEquals(20, plain);
    assertEquals(80, taken);
  }
}
