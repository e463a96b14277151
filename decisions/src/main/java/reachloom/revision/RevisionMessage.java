package reachloom.revision;

import java.util.List;
import java.util.Optional;

/**
 * Messages between members about revisions. They are sent in gossip packets, whose sender is
 * authenticated. {@link Prepare}, {@link Promise}, {@link Propose}, {@link Accepted} and {@link
 * Rejected} are the messages of Paxos, which only issuers exchange.
 */
public sealed interface RevisionMessage {
  /** Calls the handler's method for the type of this message. */
  void dispatch(Handler handler);

  /** Visitor with one method per message type, so that the compiler reports an unhandled type. */
  interface Handler {
    /** Handles the sender's state. */
    void onHave(Have message);

    /** Handles a chosen revision. */
    void onNotice(Notice message);

    /** Handles a request for a revision. */
    void onWant(Want message);

    /** Handles a part of a document. */
    void onChunk(Chunk message);

    /** Handles a member's acknowledgement. */
    void onAcknowledgement(Acknowledgement message);

    /** Handles the acknowledgement counts of one place. */
    void onCensus(Census message);

    /** Handles the request of phase one of Paxos. */
    void onPrepare(Prepare message);

    /** Handles the answer of phase one of Paxos. */
    void onPromise(Promise message);

    /** Handles the request of phase two of Paxos. */
    void onPropose(Propose message);

    /** Handles the answer of phase two of Paxos. */
    void onAccepted(Accepted message);

    /** Handles a rejection in either phase: a higher ballot was promised. */
    void onRejected(Rejected message);
  }

  /**
   * The sender's state: the revision in force and the newest known one; part of each packet.
   *
   * @param inForce the number of the revision in force at the sender; 0 for none
   * @param fingerprint the {@link Revision#fingerprint()} of that revision
   * @param known the number of the newest revision whose document the sender holds; 0 for none
   */
  record Have(long inForce, long fingerprint, long known) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onHave(this);
    }
  }

  /** A revision with the votes of a majority of the issuers: the proof that it was chosen. */
  record Notice(Revision revision, List<Vote> votes) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onNotice(this);
    }
  }

  /**
   * A request for a revision's document.
   *
   * @param number the requested revision; 0 to request only the newest {@link Notice}
   * @param base the newest revision whose document the sender holds, as the base of a delta; 0 to
   *     request the whole document
   * @param baseFingerprint the fingerprint of the base; with base 0 that of the requested revision
   *     itself, since two issuers may have proposals with the same number
   * @param from the index of the first requested chunk
   */
  record Want(long number, long base, long baseFingerprint, int from) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onWant(this);
    }
  }

  /**
   * A part of a document, or of the delta from the document of a base.
   *
   * @param number the revision
   * @param base the base revision of the delta; 0 if the bytes are part of the document itself
   * @param index the index of this chunk, from 0
   * @param of the number of chunks
   * @param bytes the content of the chunk; not copied
   */
  record Chunk(long number, long base, int index, int of, byte[] bytes) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onChunk(this);
    }
  }

  /**
   * A member's report to the aggregators of its zone of the revision that it has in force.
   *
   * @param number the revision in force, or the rejected one if {@code refusal} is not empty
   * @param fingerprint its {@link Revision#fingerprint()}
   * @param refusal why that revision was rejected; empty if it is in force
   */
  record Acknowledgement(long number, long fingerprint, String refusal) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onAcknowledgement(this);
    }
  }

  /**
   * The acknowledgement counts of one place, sent by an aggregator to the issuers.
   *
   * @param place the region in the upper byte, the zone in the lower
   * @param number the revision that is counted
   * @param members the number of members present there
   * @param inForce the number of members that have it in force
   * @param refused the number of members that have rejected it
   * @param lacking the names of some members that do not have it in force
   * @param longest the longest time for which one of them has lacked it, in milliseconds
   */
  record Census(
      int place,
      long number,
      int members,
      int inForce,
      int refused,
      List<String> lacking,
      long longest)
      implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onCensus(this);
    }
  }

  /** Phase one of Paxos: requests a promise, and the revision accepted for that number. */
  record Prepare(Ballot ballot, long number) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onPrepare(this);
    }
  }

  /**
   * Phase one of Paxos: the sender promises not to vote under a lower ballot.
   *
   * @param ballot the ballot that is promised
   * @param number the number of the request
   * @param acceptedUnder the ballot of the accepted revision; {@link Ballot#NONE} for none
   * @param accepted the revision that the sender has accepted for that number
   */
  record Promise(Ballot ballot, long number, Ballot acceptedUnder, Optional<Revision> accepted)
      implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onPromise(this);
    }
  }

  /** Phase two of Paxos: requests a vote; the document can be fetched from the sender. */
  record Propose(Ballot ballot, Revision revision) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onPropose(this);
    }
  }

  /** Phase two of Paxos: the sender has accepted and signed the revision and holds its document. */
  record Accepted(Ballot ballot, long number, Vote vote) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onAccepted(this);
    }
  }

  /**
   * Rejection of a request of either phase.
   *
   * @param ballot the ballot of the request
   * @param promised the higher ballot that the sender has promised
   */
  record Rejected(Ballot ballot, Ballot promised) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onRejected(this);
    }
  }
}
