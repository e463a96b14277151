package reachloom.revision;

/**
 * The dependencies of a {@link ConsensusNode}, which are implemented outside this package.
 *
 * @param signatures signs this issuer's votes and verifies those of others
 * @param store persists this issuer's state
 * @param repository the revisions and documents of the member that the issuer belongs to
 * @param sender sends messages to the other issuers
 */
public record ConsensusEnvironment(
    SignatureScheme signatures,
    ConsensusStore store,
    RevisionRepository repository,
    RevisionMessageSender sender) {}
