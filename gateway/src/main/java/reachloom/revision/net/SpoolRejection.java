package reachloom.revision.net;

/**
 * The reason why a document in the spool was not proposed. The names of the constants are written
 * to result files, and must not change.
 */
enum SpoolRejection {
  /** The document is empty or too large. */
  BAD_SIZE,
  /** The document was in the inbox for too long: its client no longer waits for the result. */
  STALE,
  /** The document is not valid, so that no member could put it in force. */
  REFUSED,
  /** The issuer was restarted while it processed the document. */
  RESTARTED
}
