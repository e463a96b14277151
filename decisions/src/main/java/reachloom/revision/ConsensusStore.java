package reachloom.revision;

import java.util.Optional;

/**
 * Where an issuer keeps its {@link ConsensusState}. Whatever it says to others rests on what was
 * saved before: an issuer that forgets what it promised or accepted could help to choose two
 * revisions of one number. Called from the thread of its {@link ConsensusNode} alone.
 */
public interface ConsensusStore {
  /** The state that was saved last; empty where there is none, which means that it was lost. */
  Optional<ConsensusState> load();

  /**
   * Saves a state in such a way that it outlives this process and its machine.
   *
   * @return false where that failed; the state that was saved before then still holds
   */
  boolean save(ConsensusState state);
}
