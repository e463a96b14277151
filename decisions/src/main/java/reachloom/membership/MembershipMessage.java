package reachloom.membership;

import java.util.List;

/** What nodes send to each other; each message may carry updates, peer reports and a payload. */
public sealed interface MembershipMessage {
  /** Calls the method of the visitor for this kind of message. */
  void accept(Visitor visitor);

  /** One method for each kind of message, so that the compiler checks that none is left out. */
  interface Visitor {
    /** A ping has come. */
    void visit(Ping ping);

    /** An acknowledgement has come. */
    void visit(Ack ack);

    /** A request for an indirect ping has come. */
    void visit(PingRequest request);

    /** A negative acknowledgement has come. */
    void visit(Nack nack);

    /** A request for differences of the member tables has come. */
    void visit(SyncRequest request);

    /** Members of the sender's table have come. */
    void visit(SyncResponse response);

    /** A packet has come whose message is what it carries. */
    void visit(PayloadOnly payload);

    /** An operator's request has come. */
    void visit(StatusRequest request);

    /** An answer to an operator's request has come. */
    void visit(StatusPage page);

    /** The sender leaves. */
    void visit(Leave leave);
  }

  /** Asks a member to acknowledge; an empty target asks whoever listens at the address. */
  record Ping(long sequenceNumber, String target) implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Acknowledges the ping of that number. */
  record Ack(long sequenceNumber) implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Asks the receiver to ping another member, which listens at the address (indirect ping). */
  record PingRequest(long sequenceNumber, String target, long targetAddress)
      implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Tells that the target of an indirect ping has not answered, while the relay is there. */
  record Nack(long sequenceNumber) implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /**
   * Asks for the members after the first name, up to the last one, of which the sender does not
   * hold the same. The digests are {@link MemberDigest} of what it holds; an empty last name stands
   * for the end of the table.
   */
  record SyncRequest(String afterName, String lastName, int salt, List<Integer> digests)
      implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Tells of members; {@code truncated} is set where not all of them found room. */
  record SyncResponse(boolean truncated, List<MembershipUpdate> updates)
      implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Carries updates, peer reports and payload that others should know soon. */
  record PayloadOnly() implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** An operator asks for a page of the status; pages count from 0. */
  record StatusRequest(int page) implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** One page of the status as text. */
  record StatusPage(int page, int pageCount, String text) implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Tells that the sender leaves. */
  record Leave() implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }
}
