package reachloom.revision;

import java.util.function.Consumer;

/** Is told what comes of a {@link Proposer}'s work. */
interface ProposerListener {
  /** A revision has its majority of votes. */
  void onChosen(long nowNanos, RevisionMessage.Notice notice, byte[] document);

  /** A client is to be told a result, once the present event has been dealt with. */
  void report(Consumer<ProposalResult> client, ProposalResult result);
}
