package reachloom.revision;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The chosen revisions and the documents of the member that an issuer's {@link ConsensusNode}
 * belongs to. Called only from the thread of that node.
 */
public interface RevisionRepository {
  /** Returns the newest revision known to be chosen, with its proof. */
  Optional<RevisionMessage.Notice> newest();

  /**
   * Adds a revision that was chosen, or that was found in the store at startup.
   *
   * @param votes the votes of a majority
   * @param document the revision's document
   */
  void addChosen(long nowNanos, Revision revision, List<Vote> votes, byte[] document);

  /** Returns the document of a chosen or proposed revision, if it is held. */
  Optional<byte[]> document(Revision revision);

  /** Adds the document of a proposed revision, which other issuers may fetch. */
  void addProposal(Revision revision, byte[] document);

  /**
   * Fetches the document of a proposed revision.
   *
   * @param from an issuer that holds it
   * @param onCompleted receives the document, or empty if it cannot be fetched; possibly called
   *     from within this call
   */
  void fetchProposal(
      long nowNanos, Revision revision, Peer from, Consumer<Optional<byte[]>> onCompleted);
}
