package reachloom.revision;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * Identifies one revision of the configuration, without its document; an element of a hash chain.
 * Two revisions with the same number and different {@link #chain} hashes are a fork. Immutable;
 * equal by number and chain hash.
 *
 * @param number its number in the log, from 1
 * @param previous the {@link #chain} hash of the previous revision; not copied
 * @param digest the SHA-256 hash of its document; not copied
 * @param size the size of its document in bytes
 * @param issuedAt the time of issue in Unix milliseconds
 * @param issuer the name of the issuer that first proposed it
 */
public record Revision(
    long number, byte[] previous, byte[] digest, int size, long issuedAt, String issuer) {
  /** Length of a SHA-256 hash in bytes. */
  public static final int HASH_BYTES = 32;

  /**
   * Maximum size of a document in bytes. At the planned 17 KB/s a member forwards such a document
   * in about 1 s.
   */
  public static final int MAX_DOCUMENT_BYTES = 16 * 1024;

  /** The previous hash of the first revision of a log. */
  private static final byte[] ROOT = new byte[HASH_BYTES];

  /**
   * Creates the next revision.
   *
   * @param before the previous revision; null for the first of a log
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

  /**
   * Returns the {@link #previous()} hash of the revision that follows the given one.
   *
   * @param of the given revision; null for the hash of the first revision of a log
   */
  public static byte[] chain(Revision of) {
    return of == null ? ROOT.clone() : of.chain();
  }

  /**
   * Returns the SHA-256 hash over all fields, including the chain hash of the previous revision.
   * Issuers sign it, and the next revision refers to it. Each call returns a new array.
   */
  public byte[] chain() {
    byte[] name = issuer.getBytes(StandardCharsets.UTF_8);
    ByteBuffer all =
        ByteBuffer.allocate(Long.BYTES + 2 * HASH_BYTES + Integer.BYTES + Long.BYTES + name.length);
    all.putLong(number).put(previous).put(digest).putInt(size).putLong(issuedAt).put(name);
    return hash(all.array());
  }

  /** Returns the first eight bytes of the {@link #chain} hash, a short form for comparison. */
  public long fingerprint() {
    return ByteBuffer.wrap(chain()).getLong();
  }

  /** Returns whether a document has this revision's size and digest. */
  public boolean describes(byte[] document) {
    return document.length == size && Arrays.equals(hash(document), digest);
  }

  static byte[] hash(byte[] bytes) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(bytes);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
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
