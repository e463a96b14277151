package reachloom.revision;

import java.util.List;
import java.util.Optional;

/**
 * What members say to each other about revisions. Messages travel in packets of gossip, whose
 * sender is authenticated. {@link Prepare}, {@link Promise}, {@link Propose}, {@link Accepted} and
 * {@link Rejected} are those of Paxos and pass between issuers alone.
 */
public sealed interface RevisionMessage {
  /** Calls the handler's method for the type of this message. */
  void dispatch(Handler handler);

  /** One method for each type of message, so that none is forgotten where they are told apart. */
  interface Handler {
    /** What the sender has in force and knows. */
    void onHave(Have message);

    /** A chosen revision. */
    void onNotice(Notice message);

    /** A request for a revision. */
    void onWant(Want message);

    /** A part of a document. */
    void onChunk(Chunk message);

    /** A member tells what it has in force. */
    void onAcknowledgement(Acknowledgement message);

    /** The acknowledgements of one place, summed up. */
    void onCensus(Census message);

    /** Phase one of Paxos: the request. */
    void onPrepare(Prepare message);

    /** Phase one of Paxos: the answer. */
    void onPromise(Promise message);

    /** Phase two of Paxos: the request. */
    void onPropose(Propose message);

    /** Phase two of Paxos: the answer. */
    void onAccepted(Accepted message);

    /** Either phase: a higher ballot was promised. */
    void onRejected(Rejected message);
  }

  /**
   * What the sender has in force and knows; travels in each packet.
   *
   * @param inForce the number of the revision in force at the sender; 0 for none
   * @param fingerprint the {@link Revision#fingerprint()} of that revision
   * @param known the newest number that the sender holds with its document; 0 for none
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
   * @param number the wanted revision; 0 where only the newest {@link Notice} is wanted
   * @param base the revision in force at the sender, whose document a delta may start from; 0 where
   *     the whole document is wanted
   * @param baseFingerprint the fingerprint of the base; with base 0 that of the wanted revision itself, since two
   *     issuers may have proposals with one number
   * @param from the index of the first chunk that is wanted
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
   * @param base the revision that the delta starts from; 0 where the bytes are the document's own
   * @param index the index of this chunk, from 0
   * @param of how many chunks there are
   * @param bytes the content of the chunk; not copied
   */
  record Chunk(long number, long base, int index, int of, byte[] bytes) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onChunk(this);
    }
  }

  /**
   * A member tells those that count for its zone what it has in force.
   *
   * @param number the revision in force
   * @param fingerprint its {@link Revision#fingerprint()}
   * @param refusal why a newer revision cannot be put in force; empty where nothing is wrong
   */
  record Acknowledgement(long number, long fingerprint, String refusal) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onAcknowledgement(this);
    }
  }

  /**
   * The acknowledgements of one place, on their way to the issuers.
   *
   * @param place the region in the upper byte, the zone in the lower
   * @param number the revision that is counted
   * @param members how many members are present there
   * @param inForce how many of them have it in force
   * @param refused how many of them have refused it
   * @param lacking the names of some that lack it
   * @param longest how long the first of these has lacked it, in milliseconds
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

  /** Phase one of Paxos: asks for a promise, and for what was accepted for that number. */
  record Prepare(Ballot ballot, long number) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onPrepare(this);
    }
  }

  /**
   * Phase one of Paxos: the sender votes for nothing below that ballot any more.
   *
   * @param ballot the ballot that is promised
   * @param number the number that was asked for
   * @param acceptedUnder the ballot of what the sender has accepted; {@link Ballot#NONE} for none
   * @param accepted the revision that the sender has accepted for that number
   */
  record Promise(Ballot ballot, long number, Ballot acceptedUnder, Optional<Revision> accepted)
      implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onPromise(this);
    }
  }

  /** Phase two of Paxos: asks for a vote; the document is to be had from the sender. */
  record Propose(Ballot ballot, Revision revision) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onPropose(this);
    }
  }

  /** Phase two of Paxos: the sender has accepted the revision, holds its document, and signs it. */
  record Accepted(Ballot ballot, long number, Vote vote) implements RevisionMessage {
    @Override
    public void dispatch(Handler handler) {
      handler.onAccepted(this);
    }
  }

  /**
   * Either phase: the request is refused.
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
