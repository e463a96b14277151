package reachloom.membership;

import java.util.List;

/** A message between nodes; each one may carry updates, peer reports and a payload. */
public sealed interface MembershipMessage {
  /** Calls the visitor's method for this kind of message. */
  void accept(Visitor visitor);

  /** Has one method for each kind of message, so that the compiler checks that none is left out. */
  interface Visitor {
    /** Handles a ping. */
    void visit(Ping ping);

    /** Handles an acknowledgement. */
    void visit(Ack ack);

    /** Handles a request for an indirect ping. */
    void visit(PingRequest request);

    /** Handles a negative acknowledgement. */
    void visit(Nack nack);

    /** Handles a request for the differences between member tables. */
    void visit(SyncRequest request);

    /** Handles members of the sender's table. */
    void visit(SyncResponse response);

    /** Handles a packet that is sent only for the updates, reports and payload it carries. */
    void visit(PayloadOnly payload);

    /** Handles an operator's request for the status. */
    void visit(StatusRequest request);

    /** Handles the response to an operator's request. */
    void visit(StatusPage page);

    /** Handles the announcement that the sender leaves. */
    void visit(Leave leave);
  }

  /**
   * Requests an acknowledgement; an empty target addresses any node that listens at the address.
   */
  record Ping(long sequenceNumber, String target) implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Acknowledges the ping with that sequence number. */
  record Ack(long sequenceNumber) implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /**
   * Requests an indirect ping: the receiver pings the target, which listens at the given address.
   */
  record PingRequest(long sequenceNumber, String target, long targetAddress)
      implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /**
   * Negative acknowledgement: the relay is reachable, but the target of an indirect ping did not
   * acknowledge.
   */
  record Nack(long sequenceNumber) implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /**
   * Requests the members whose names follow {@code afterName}, up to {@code lastName} inclusive,
   * and that differ from those of the sender. The digests are the {@link MemberDigest}s of the
   * sender's members; an empty last name stands for the end of the table.
   */
  record SyncRequest(String afterName, String lastName, int salt, List<Integer> digests)
      implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Contains members of the sender's table; {@code truncated} is set if not all of them fit. */
  record SyncResponse(boolean truncated, List<MembershipUpdate> updates)
      implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Carries urgent updates, peer reports and payload, without a message of its own. */
  record PayloadOnly() implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Requests a page of the status for an operator; pages are numbered from 0. */
  record StatusRequest(int page) implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Contains one page of the status as text. */
  record StatusPage(int page, int pageCount, String text) implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }

  /** Announces that the sender leaves. */
  record Leave() implements MembershipMessage {
    @Override
    public void accept(Visitor visitor) {
      visitor.visit(this);
    }
  }
}
