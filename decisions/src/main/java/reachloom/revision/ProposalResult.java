package reachloom.revision;

/**
 * The result for a document that was submitted to an issuer.
 *
 * @param kind the outcome, or why it is not known yet
 * @param number the revision number of the issued or proposed document; 0 if it was not proposed
 * @param text a description for operators; written to result files
 */
public record ProposalResult(Kind kind, long number, String text) {
  /** The outcome. The names of these constants are written to result files and must not change. */
  public enum Kind {
    /** The document is revision {@code number} of the log, signed by a majority of the issuers. */
    ISSUED,
    /** The document was not and will not be issued: a newer document or revision superseded it. */
    SUPERSEDED,
    /**
     * The document was proposed, but later revisions were chosen before it was known whether this
     * one was issued as well.
     */
    OVERTAKEN,
    /**
     * The document was not issued in time: too few issuers answered, or it waited for another
     * document or for the fetch of the newest one. With number 0 the document is withdrawn;
     * otherwise it was proposed and may still be issued, by this issuer or another. A second result
     * then follows as soon as the outcome is known, unless the issuer has too many such documents
     * and drops this one as the oldest.
     */
    NO_MAJORITY,
    /** This issuer's process was paused; the number has the meaning of {@link #NO_MAJORITY}. */
    STOOD_STILL,
    /** The document is empty or larger than {@link Revision#MAX_DOCUMENT_BYTES}. */
    BAD_SIZE,
    /** This issuer's store can't be written; the number has the meaning of {@link #NO_MAJORITY}. */
    NOT_SAVED,
    /** This issuer has lost its store and does not vote yet; submit to another issuer. */
    ABSTAINS
  }

  /** Returns the result for a document whose size is not within the limits. */
  static ProposalResult badSize(int bytes) {
    return new ProposalResult(
        Kind.BAD_SIZE,
        0,
        "the document has "
            + bytes
            + " bytes; 1 to "
            + Revision.MAX_DOCUMENT_BYTES
            + " are allowed");
  }

  /** Returns the result of an issuer that does not vote yet; the first number may be unknown. */
  static ProposalResult abstains(long firstVotingNumber) {
    String until =
        firstVotingNumber == ConsensusState.UNKNOWN_NUMBER
            ? "yet"
            : "before revision " + firstVotingNumber;
    return new ProposalResult(
        Kind.ABSTAINS,
        0,
        "this issuer has lost its store and takes no part "
            + until
            + ": give the document to another one");
  }

  /** Returns whether no further result follows for the same document. */
  public boolean isFinal() {
    return number == 0 || kind == Kind.ISSUED || kind == Kind.SUPERSEDED || kind == Kind.OVERTAKEN;
  }
}
