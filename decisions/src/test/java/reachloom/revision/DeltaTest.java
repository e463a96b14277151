package reachloom.revision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Deltas between documents. */
class DeltaTest {
  @Test
  void encodedDeltaRestoresTarget() {
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 2_000; i++) {
      byte[] base = new byte[random.nextInt(40)];
      byte[] target = new byte[random.nextInt(40)];
      random.nextBytes(base);
      random.nextBytes(target);
      System.arraycopy(
          base, 0, target, 0, Math.min(base.length, random.nextInt(target.length + 1)));
      assertArrayEquals(target, Delta.apply(base, Delta.encode(base, target)));
    }
    byte[] repetitive = new byte[30];
    byte[] longer = new byte[50];
    assertArrayEquals(longer, Delta.apply(repetitive, Delta.encode(repetitive, longer)));
    byte[] one = SimulatedNetwork.document(9_000, 1);
    byte[] other = SimulatedNetwork.document(9_000, 2);
    // 8 bytes of lengths, and the one byte in which the documents differ
    assertEquals(9, Delta.encode(one, other).length);
  }

  @Test
  void malformedDeltaReturnsNull() {
    byte[] base = new byte[100];
    assertNull(Delta.apply(base, new byte[7]));
    int[][] malformed = {
      {-1, 0}, {0, -1}, {101, 0}, {60, 41}, {Integer.MAX_VALUE, 1}, {1, 1 << 31}
    };
    for (int[] lengths : malformed) {
      assertNull(
          Delta.apply(base, ByteBuffer.allocate(8).putInt(lengths[0]).putInt(lengths[1]).array()),
          Arrays.toString(lengths));
    }
    assertNull(Delta.apply(base, new byte[8 + Revision.MAX_DOCUMENT_BYTES + 1]), "too large");
    assertEquals(
        Revision.MAX_DOCUMENT_BYTES,
        Delta.apply(base, new byte[8 + Revision.MAX_DOCUMENT_BYTES]).length);
  }
}
