package reachloom.revision;

import java.util.List;
import java.util.function.Consumer;

/**
 * What an issuer's council needs of the member that it belongs to: what is proved, and documents.
 */
public interface RevisionRepository {
  /** The newest revision that is proved, with its proof; null for none. */
  RevisionMessage.Notice newest();

  /** A revision is decided, or was found in the store at a start. */
  void proved(long now, Revision revision, List<Vote> votes, byte[] document);

  /** The document of a revision, proved or a draft, if it is held; else null. */
  byte[] document(Revision revision);

  /** Holds the document of a draft, for the other issuers to fetch. */
  void draft(Revision revision, byte[] document);

  /**
   * Fetches the document of a draft; {@code then} is given it, or null, also from within this call.
   */
  void fetchDraft(long now, Revision revision, Peer from, Consumer<byte[]> then);
}
