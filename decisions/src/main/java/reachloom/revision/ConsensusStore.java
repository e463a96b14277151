package reachloom.revision;

import java.util.Optional;

/**
 * Durable storage of an issuer's {@link ConsensusState}. The state is saved before a message that
 * depends on it is sent: an issuer that forgets a promise or an accepted proposal could help to
 * choose two revisions with one number. Called only from the thread of its {@link ConsensusNode}.
 */
public interface ConsensusStore {
  /** Loads the state that was saved last; empty if there is none, which means that it was lost. */
  Optional<ConsensusState> load();

  /**
   * Saves a state durably, so that it survives a crash of the process or the machine.
   *
   * @return false if that failed; the state saved before then remains valid
   */
  boolean save(ConsensusState state);
}
