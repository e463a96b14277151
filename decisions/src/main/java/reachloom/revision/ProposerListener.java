package reachloom.revision;

import java.util.function.Consumer;

/** Listener for the outcomes of a {@link Proposer}. */
interface ProposerListener {
  /** Handles a revision that has received the votes of a majority. */
  void onChosen(long nowNanos, RevisionMessage.Notice notice, byte[] document);

  /** Reports a result to a client once the current event is handled. */
  void report(Consumer<ProposalResult> client, ProposalResult result);
}
