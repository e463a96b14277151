package reachloom.gateway.state;

import java.util.zip.CRC32C;

/**
 * Tells statements apart that are not held any more.
 *
 * @param length the statement's length in bytes
 * @param checksum its CRC-32C
 */
public record StatementFingerprint(int length, long checksum) {
  /** Returns the fingerprint of a request's statement. */
  public static StatementFingerprint of(ClientRequest request) {
    CRC32C checksum = new CRC32C();
    checksum.update(request.frame, request.statementOffset, request.statementLength);
    return new StatementFingerprint(request.statementLength, checksum.getValue());
  }
}
