package reachloom.revision;

/**
 * What has become of a document that was given to an issuer.
 *
 * @param kind how it ended, or why that is not known yet
 * @param number the number that it was issued or proposed under; 0 where it was not proposed
 * @param text the same in words, for an operator
 */
public record ProposalResult(Kind kind, long number, String text) {
  /** How it ended. Operators' files name these constants: they keep their names. */
  public enum Kind {
    /** It is revision {@code number} of the log, which a majority of the issuers has signed. */
    ISSUED,
    /** A newer document or another revision took its place: it was not issued and will not be. */
    SUPERSEDED,
    /**
     * It was proposed, but later revisions were chosen before it was known whether it was issued as
     * well.
     */
    OVERTAKEN,
    /**
     * Too few issuers answered. With number 0 it is withdrawn; else it was proposed and may yet be
     * issued, by this issuer or another, and a second result tells what became of it as soon as
     * that is known here.
     */
    NO_MAJORITY,
    /** This issuer's process was paused; the same holds as for {@link #NO_MAJORITY}. */
    STOOD_STILL,
    /** It is empty, or larger than {@link Revision#MAX_DOCUMENT_BYTES}. */
    BAD_SIZE,
    /** This issuer's store cannot be written; the same holds as for {@link #NO_MAJORITY}. */
    NOT_SAVED,
    /** This issuer has lost its store and does not vote yet: another one has to be asked. */
    ABSTAINS
  }

  /** The result of a document of that many bytes, which is not within the bounds. */
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

  /** The result at an issuer that may not vote before a number that it may not know. */
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

  /** Whether no further result follows for the same document. */
  public boolean isFinal() {
    return number == 0 || kind == Kind.ISSUED || kind == Kind.SUPERSEDED || kind == Kind.OVERTAKEN;
  }
}
