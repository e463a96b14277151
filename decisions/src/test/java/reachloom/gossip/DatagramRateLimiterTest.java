package reachloom.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import reachloom.gossip.DatagramRateLimiter.Arrival;

/** Tests the rejection of datagrams before their signatures are checked. */
class DatagramRateLimiterTest {
  private static final long SECOND_NANOS = 1_000_000_000;

  private final DatagramRateLimiter limiter = new DatagramRateLimiter(SECOND_NANOS);
  private long now = 1_000 * SECOND_NANOS;

  private static RejectionReason admit(DatagramRateLimiter limiter, long now, Arrival arrival) {
    return limiter.admit(now, now, arrival).orElse(null);
  }

  private RejectionReason admit(long source, boolean member, long time, long seq) {
    return admit(limiter, now, new Arrival(source, member, true, false, "p", time, seq));
  }

  @Test
  void rejectsDatagramsOneHourApartButNotTenSeconds() {
    assertNull(admit(1, true, now - 10 * SECOND_NANOS, 1));
    assertNull(admit(1, true, now + 10 * SECOND_NANOS, 2));
    assertEquals(RejectionReason.TIME, admit(1, true, now - 3_600 * SECOND_NANOS, 3));
    assertEquals(RejectionReason.TIME, admit(1, true, now + 3_600 * SECOND_NANOS, 4));
    assertEquals(2L, limiter.rejections().get(RejectionReason.TIME));
  }

  @Test
  void acceptsEachSequenceNumberOnce() {
    assertTrue(limiter.acceptSequenceNumber("p", 100));
    assertTrue(limiter.acceptSequenceNumber("p", 103));
    assertTrue(limiter.acceptSequenceNumber("p", 101));
    assertEquals(RejectionReason.REPLAYED, admit(1, true, now, 101));
    assertEquals(RejectionReason.REPLAYED, admit(1, true, now, 103));
    assertNull(admit(1, true, now, 102));
    assertFalse(limiter.acceptSequenceNumber("p", 100));
    assertTrue(limiter.acceptSequenceNumber("p", 10_000));
    assertEquals(RejectionReason.REPLAYED, admit(1, true, now, 102), "below the window");
    assertNull(admit(1, true, now, 10_001));
    assertTrue(limiter.acceptSequenceNumber("q", 100), "each sender has its own window");
  }

  @Test
  void admitsMembersDuringFloodFromUnknownSources() {
    int admittedFromUnknown = 0;
    for (int i = 0; i < 20_000; i++) {
      now += SECOND_NANOS / 20_000;
      admittedFromUnknown +=
          admit(limiter, now, new Arrival(i, false, true, false, "p", now, i)) == null ? 1 : 0;
      if (i % 1_000 == 0) {
        assertNull(admit(limiter, now, new Arrival(1_000_000, true, true, false, "m", now, i)));
      }
    }
    assertTrue(admittedFromUnknown <= 101, admittedFromUnknown + " signature checks in one second");
  }

  @Test
  void admitsJoiningNodesDuringFloodFromOneAddress() {
    int admittedJoining = 0;
    for (int i = 0; i < 20_000; i++) {
      now += SECOND_NANOS / 20_000;
      admit(limiter, now, new Arrival(5, false, true, false, "p", now, i));
      if (i % 1_000 == 0) {
        admittedJoining +=
            admit(limiter, now, new Arrival(100 + i, false, false, true, "new" + i, now, i)) == null
                ? 1
                : 0;
      }
    }
    assertEquals(20, admittedJoining);
  }

  @Test
  void admitsOtherMembersDuringFloodFromOneMember() {
    int admitted = 0;
    for (int i = 0; i < 1_000; i++) {
      admitted += admit(5, true, now, i) == null ? 1 : 0;
    }
    assertTrue(admitted <= 20, admitted + " datagrams of one member admitted");
    assertNull(admit(limiter, now, new Arrival(6, true, true, false, "q", now, 1)));
  }

  @Test
  void raisesMemberLimitForShortPeriod() {
    DatagramRateLimiter shortPeriodLimiter = new DatagramRateLimiter(SECOND_NANOS / 10);
    for (int i = 0; i < 600; i++) { // 10 seconds with six packets per period
      now += SECOND_NANOS / 60;
      assertNull(admit(shortPeriodLimiter, now, new Arrival(5, true, true, false, "p", now, i)));
    }
  }

  @Test
  void rejectsUnknownSenderWithoutCertificate() {
    assertEquals(
        RejectionReason.UNKNOWN,
        admit(limiter, now, new Arrival(1, false, false, false, "p", now, 1)));
    assertNull(admit(limiter, now, new Arrival(1, false, false, true, "p", now, 1)));
  }

  @Test
  void raisesMemberLimitForRevisions() {
    DatagramRateLimiter limiterWithRevisions = new DatagramRateLimiter(SECOND_NANOS, true);
    int admitted = 0;
    int admittedWithoutRevisions = 0;
    for (int i = 0; i < 200; i++) {
      admitted +=
          admit(limiterWithRevisions, now, new Arrival(1, true, true, false, "p", now, i)) == null
              ? 1
              : 0;
      admittedWithoutRevisions += admit(1, true, now, i) == null ? 1 : 0;
    }
    assertEquals(20, admittedWithoutRevisions);
    assertEquals(80, admitted);
  }
}
