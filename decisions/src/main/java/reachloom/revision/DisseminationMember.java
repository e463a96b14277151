package reachloom.revision;

import java.util.List;

/**
 * This member in the dissemination of revisions, and the issuers that it believes.
 *
 * @param name this member's name, as its certificate has it
 * @param place where it stands: the region in the upper byte, the zone in the lower; 0 if unknown
 * @param issuers all issuers that the settings name, at their static addresses, this member too if
 *     it is one
 * @param quorum how many votes of issuers prove a revision
 * @param signatures proves the votes of the issuers
 */
public record DisseminationMember(
    String name, int place, List<Peer> issuers, int quorum, SignatureScheme signatures) {
  /** Copies the issuers. */
  public DisseminationMember {
    issuers = List.copyOf(issuers);
  }

  /** Whether this member is one of the issuers. */
  public boolean isIssuer() {
    return trusts(name);
  }

  /** Whether that is the name of an issuer, whose votes count. */
  boolean trusts(String voter) {
    return issuers.stream().anyMatch(issuer -> issuer.name().equals(voter));
  }

  /** The issuers without this member. */
  List<Peer> otherIssuers() {
    return issuers.stream().filter(issuer -> !issuer.name().equals(name)).toList();
  }
}
