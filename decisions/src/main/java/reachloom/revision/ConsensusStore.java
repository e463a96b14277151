package reachloom.revision;

/**
 * Where an issuer keeps what it must not forget. Whatever it says to others rests on what was saved
 * before: an issuer that forgets what it promised or accepted could help to prove two revisions of
 * one number.
 */
public interface ConsensusStore {
  /**
   * What an issuer must not forget.
   *
   * @param promised the highest ballot promised
   * @param acceptedUnder under which ballot {@code accepted} was accepted; {@link Ballot#NONE} for
   *     none
   * @param accepted the revision accepted for the number after the newest proved one, or null
   * @param draft its document, or null
   * @param newest the newest revision that is proved, with its votes, or null
   * @param document its document; null where there is none, or while it is not held
   * @param from the first number that this issuer takes part in; {@link #NEVER} while it does not
   *     know
   */
  record State(
      Ballot promised,
      Ballot acceptedUnder,
      Revision accepted,
      byte[] draft,
      RevisionMessage.Notice newest,
      byte[] document,
      long from) {
    /** That of an issuer which has never taken part in anything. */
    public static State first() {
      return new State(Ballot.NONE, Ballot.NONE, null, null, null, null, 1);
    }

    /** That of an issuer which may have taken part and has lost its store: it abstains at first. */
    public static State lost() {
      return new State(Ballot.NONE, Ballot.NONE, null, null, null, null, NEVER);
    }

    /** The number of the newest revision that is proved, 0 for none. */
    public long number() {
      return newest == null ? 0 : newest.revision().number();
    }

    /** Whether this issuer takes part in finding the next revision. */
    public boolean takesPart() {
      return number() + 1 >= from;
    }
  }

  /** The first number of an issuer that takes part in none. */
  long NEVER = Long.MAX_VALUE;

  /** What was saved last; null where nothing is there, which means that it was lost. */
  State load();

  /**
   * Saves it in such a way that it outlives this process and its machine; false where that failed.
   */
  boolean save(State state);
}
