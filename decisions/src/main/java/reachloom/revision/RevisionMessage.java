package reachloom.revision;

import java.util.List;

/**
 * What members say to each other about revisions; it rides on the packets of gossip, whose sender
 * is proved.
 */
public sealed interface RevisionMessage {
  /**
   * What the sender has in force, by number and mark, and the newest number that it holds with its
   * document; 0 for none. Rides on each packet.
   */
  record Have(long inForce, long mark, long known) implements RevisionMessage {}

  /** A revision with the votes of a majority of the issuers: the proof that it was issued. */
  record Notice(Revision revision, List<Vote> votes) implements RevisionMessage {}

  /**
   * Send me that revision ({@code number} 0: only the newest notice). {@code base} is the revision
   * in force at the sender, whose document a delta may start from; pieces from {@code from} on are
   * wanted. Where it is 0, the whole is wanted, and {@code baseMark} is the mark of the wanted
   * revision itself: two issuers may have drafts with one number.
   */
  record Want(long number, long base, long baseMark, int from) implements RevisionMessage {}

  /** A part of a document ({@code base} 0), or of the delta from the document of {@code base}. */
  record Piece(long number, long base, int index, int of, byte[] bytes)
      implements RevisionMessage {}

  /**
   * I have this in force; sent to those that count for my zone. {@code refusal} is empty, or says
   * why it can't be put in force.
   */
  record Acknowledgement(long number, long mark, String refusal) implements RevisionMessage {}

  /**
   * The sum for one place, on its way to the issuers: of so many members so many have it in force;
   * {@code lacking} names some that do not, {@code longest} is how long the first of these has
   * lacked it, in milliseconds.
   */
  record Census(
      int place,
      long number,
      int members,
      int inForce,
      int refused,
      List<String> lacking,
      long longest)
      implements RevisionMessage {}

  /** Phase one among issuers: I will propose under this ballot; what have you accepted? */
  record Prepare(Ballot ballot, long number) implements RevisionMessage {}

  /** I take nothing below that ballot any more; this I had accepted for that number, or null. */
  record Promise(Ballot ballot, long number, Ballot acceptedUnder, Revision accepted)
      implements RevisionMessage {}

  /** Phase two: accept this revision; its document is to be had from the sender ({@link Want}). */
  record Propose(Ballot ballot, Revision revision) implements RevisionMessage {}

  /** I have accepted it, hold its document, and sign for it. */
  record Accepted(Ballot ballot, long number, Vote vote) implements RevisionMessage {}

  /** A higher ballot has been promised. */
  record Rejected(Ballot ballot, Ballot promised) implements RevisionMessage {}
}
