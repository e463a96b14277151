package reachloom.revision.net;

/**
 * Why a document in the spool was not proposed. Operators' files name these constants: they keep
 * their names.
 */
enum SpoolRejection {
  /** It is empty or too large. */
  BAD_SIZE,
  /** It lay in the inbox for too long: nobody waits for it. */
  STALE,
  /** It could not be put in force anywhere. */
  REFUSED,
  /** The issuer was restarted while it dealt with the document. */
  RESTARTED
}
