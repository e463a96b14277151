package reachloom.revision;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * What an issuer's consensus needs of the member that it belongs to: the revisions that are chosen,
 * and documents. Called from the thread of the {@link ConsensusNode} alone.
 */
public interface RevisionRepository {
  /** The newest revision that is known to be chosen, with its proof. */
  Optional<RevisionMessage.Notice> newest();

  /**
   * A revision was chosen, or was found in the store at a start.
   *
   * @param votes those of a majority
   * @param document the revision's document
   */
  void addChosen(long nowNanos, Revision revision, List<Vote> votes, byte[] document);

  /** The document of a revision, chosen or only proposed, if it is held. */
  Optional<byte[]> document(Revision revision);

  /** Holds the document of a proposed revision, for the other issuers to fetch. */
  void addProposal(Revision revision, byte[] document);

  /**
   * Fetches the document of a proposed revision.
   *
   * @param from an issuer that holds it
   * @param onCompleted is given the document, or nothing where it cannot be had; also from within
   *     this call
   */
  void fetchProposal(
      long nowNanos, Revision revision, Peer from, Consumer<Optional<byte[]>> onCompleted);
}
