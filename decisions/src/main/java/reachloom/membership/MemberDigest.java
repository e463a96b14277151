package reachloom.membership;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Sixteen bits that stand for what is held of a member, so that two tables are compared at two
 * bytes a member. Two values with the same digest differ with another salt, and each comparison has
 * its own.
 */
public final class MemberDigest {
  private static final int DIGEST_MASK = 0xffff;
  private static final int PLACE_SHIFT = 48; // above an address
  private static final long INCARNATION_FACTOR = 31;

  private MemberDigest() {}

  /** The digest of a member's name, incarnation, address and place: 0 to 65,535. */
  public static int of(int salt, Member member) {
    CRC32C checksum = new CRC32C();
    long combined =
        member.incarnation() * INCARNATION_FACTOR
            + member.address()
            + ((long) salt << Integer.SIZE)
            + ((long) member.place() << PLACE_SHIFT);
    for (int i = 0; i < Long.BYTES; i++) {
      checksum.update((int) (combined >>> i * Byte.SIZE));
    }
    checksum.update(member.name().getBytes(StandardCharsets.UTF_8));
    long value = checksum.getValue();
    return (int) (value ^ value >>> Short.SIZE) & DIGEST_MASK;
  }
}
