package reachloom.membership;

import java.util.List;

/** What instances say to each other; each goes out with news beside it. */
public sealed interface MembershipMessage {
  /** Are you there? An empty target asks whoever listens at the address. */
  record Ping(long sequenceNumber, String target) implements MembershipMessage {}

  /** Here I am. */
  record Ack(long sequenceNumber) implements MembershipMessage {}

  /** Ask that one for me. */
  record PingRequest(long sequenceNumber, String target, long targetAddress)
      implements MembershipMessage {}

  /** I am here, but that one has not answered me. */
  record Nack(long sequenceNumber) implements MembershipMessage {}

  /**
   * What do you hold of the members behind the first name, up to the last one, that I don't? The
   * marks are {@link MemberDigest} of what the sender holds of them; an empty last name stands for
   * the end.
   */
  record SyncRequest(String afterName, String lastName, int salt, List<Integer> digests)
      implements MembershipMessage {}

  /** What is held; {@code more} tells that not all of it found room. */
  record SyncResponse(boolean truncated, List<MembershipUpdate> updates)
      implements MembershipMessage {}

  /** Nothing but what rides on it: something has been seen that others should know soon. */
  record PayloadOnly() implements MembershipMessage {}

  /** An operator asks for a page of what this instance knows. */
  record StatusRequest(int page) implements MembershipMessage {}

  /** One of so many pages, as text. */
  record StatusPage(int page, int pageCount, String text) implements MembershipMessage {}

  /** I am going. */
  record Leave() implements MembershipMessage {}
}
