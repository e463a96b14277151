package reachloom.revision;

import java.util.List;

/** Where words go, and what they weigh on the wire. */
public interface RevisionMessageSender {
  /** The bytes of one word. */
  int encodedBytes(RevisionMessage word);

  /** How many bytes of words one packet holds at most. */
  int maxPacketBytes();

  /**
   * Sends words to a member at once; false where the budget of the second has no room: try again
   * later.
   */
  boolean send(long now, String to, long address, List<RevisionMessage> words);
}
