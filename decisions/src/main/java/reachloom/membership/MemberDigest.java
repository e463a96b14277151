package reachloom.membership;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Sixteen bits that stand for what is held of a member, so that two tables are compared at two
 * bytes a member. Two that fall on the same mark do not with another salt, and each comparison has
 * its own.
 */
public final class MemberDigest {
  private static final int MASK = 0xffff;
  private static final int PLACE_AT = 48; // above an address

  private MemberDigest() {}

  /** The mark of a member's name, incarnation, address and place. */
  public static int of(int salt, Member m) {
    CRC32C sum = new CRC32C();
    long whole =
        m.incarnation() * 31
            + m.address()
            + ((long) salt << Integer.SIZE)
            + ((long) m.place() << PLACE_AT);
    for (int i = 0; i < Long.BYTES; i++) {
      sum.update((int) (whole >>> i * Byte.SIZE));
    }
    sum.update(m.name().getBytes(StandardCharsets.UTF_8));
    return (int) (sum.getValue() ^ sum.getValue() >>> Short.SIZE) & MASK;
  }
}
