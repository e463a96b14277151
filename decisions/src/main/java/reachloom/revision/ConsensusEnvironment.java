package reachloom.revision;

/**
 * What an issuer's consensus works on, made outside this package.
 *
 * @param signatures signs this issuer's votes and verifies those of others
 * @param store where this issuer's state is kept
 * @param repository the revisions and documents of the member that the issuer belongs to
 * @param sender sends messages to the other issuers
 */
public record ConsensusEnvironment(
    SignatureScheme signatures,
    ConsensusStore store,
    RevisionRepository repository,
    RevisionMessageSender sender) {}
