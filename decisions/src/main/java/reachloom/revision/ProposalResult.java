package reachloom.revision;

/**
 * What has become of a document that was given to an issuer.
 *
 * @param number the number that it was issued or proposed under; 0 where it was not proposed
 */
public record ProposalResult(Kind kind, long number, String text) {
  /** How it ended. */
  public enum Kind {
    /** It is revision {@code number} of the log, which a majority of the issuers has signed. */
    ISSUED,
    /** A newer document or another revision took its place: it was not issued and will not be. */
    SUPERSEDED,
    /**
     * It was proposed, but later revisions were proved before it was known whether it was issued,
     * too.
     */
    OVERTAKEN,
    /**
     * Too few issuers answered. With number 0 it is withdrawn; else it was proposed and may yet be
     * issued, by this issuer or another, and a second result tells what became of it as soon as
     * that is known here.
     */
    NO_MAJORITY,
    /** This issuer stood still; the same holds as for {@link #NO_MAJORITY}. */
    STOOD_STILL,
    /** Empty, or larger than {@link Revision#MAX_DOCUMENT_BYTES}. */
    BAD_SIZE,
    /** This issuer's store can't be written; the same holds as for {@link #NO_MAJORITY}. */
    NOT_SAVED,
    /** This issuer has lost its store and does not take part yet: another one has to be asked. */
    ABSTAINS
  }

  /** Whether nothing more will be told of it. */
  public boolean last() {
    return number == 0 || kind == Kind.ISSUED || kind == Kind.SUPERSEDED || kind == Kind.OVERTAKEN;
  }
}
