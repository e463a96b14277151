package reachloom.revision;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * Identifies one revision of the configuration, without its document; a link of a hash chain. Two
 * revisions with one number and another {@link #chain} are a fork. Immutable; equal by number and
 * chain.
 *
 * @param number its number in the log, from 1
 * @param previous the {@link #chain} of the revision before; not copied
 * @param digest the SHA-256 of its document; not copied
 * @param size the bytes of its document
 * @param issuedAt when it was issued, Unix milliseconds
 * @param issuer the name of the issuer that proposed it first
 */
public record Revision(
    long number, byte[] previous, byte[] digest, int size, long issuedAt, String issuer) {
  /** Bytes of a SHA-256. */
  public static final int HASH_BYTES = 32;

  /**
   * The largest document, in bytes: at the planned 17 KB a second a member can pass one on in about
   * 1 s.
   */
  public static final int MAX_DOCUMENT_BYTES = 16 * 1024;

  /** What the first revision of a log is chained to. */
  private static final byte[] ROOT = new byte[HASH_BYTES];

  /**
   * The next revision.
   *
   * @param before the revision before; null for the first of a log
   * @param issuedAt Unix milliseconds
   */
  public static Revision after(Revision before, byte[] document, long issuedAt, String issuer) {
    return new Revision(
        before == null ? 1 : before.number + 1,
        chain(before),
        hash(document),
        document.length,
        issuedAt,
        issuer);
  }

  /** What the revision after that one names as the one before; null stands for no revision. */
  public static byte[] chain(Revision of) {
    return of == null ? ROOT.clone() : of.chain();
  }

  /**
   * SHA-256 over all fields, the chain of the revision before included: what issuers sign, and what
   * the next revision names. A new array at each call.
   */
  public byte[] chain() {
    byte[] name = issuer.getBytes(StandardCharsets.UTF_8);
    ByteBuffer all =
        ByteBuffer.allocate(Long.BYTES + 2 * HASH_BYTES + Integer.BYTES + Long.BYTES + name.length);
    all.putLong(number).put(previous).put(digest).putInt(size).putLong(issuedAt).put(name);
    return hash(all.array());
  }

  /** The first eight bytes of the {@link #chain}, as a short form to compare by. */
  public long fingerprint() {
    return ByteBuffer.wrap(chain()).getLong();
  }

  /** Whether that is this revision's document: of its size, and with its digest. */
  public boolean describes(byte[] document) {
    return document.length == size && Arrays.equals(hash(document), digest);
  }

  static byte[] hash(byte[] bytes) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(bytes);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("each Java platform has SHA-256", e);
    }
  }

  @Override
  public boolean equals(Object other) {
    return other == this
        || other instanceof Revision r && number == r.number && Arrays.equals(chain(), r.chain());
  }

  @Override
  public int hashCode() {
    return Long.hashCode(fingerprint());
  }
}
