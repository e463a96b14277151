package reachloom.membership;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Computes 16-bit digests of members, so that a comparison of two tables takes two bytes per
 * member. Each comparison has its own salt, so that two values whose digests collide in one
 * comparison differ in another.
 */
public final class MemberDigest {
  private static final int DIGEST_MASK = 0xffff;
  private static final int PLACE_SHIFT = 48; // above an address
  private static final long INCARNATION_FACTOR = 31;

  private MemberDigest() {}

  /** Returns the digest of a member's name, incarnation, address and place: 0 to 65,535. */
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
