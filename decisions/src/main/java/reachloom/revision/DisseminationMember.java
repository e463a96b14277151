package reachloom.revision;

import java.util.List;

/**
 * This member's identity in the dissemination of revisions, and the issuers that it trusts.
 *
 * @param name this member's name, as in its certificate
 * @param place its location: the region in the upper byte, the zone in the lower; 0 if unknown
 * @param issuers all issuers in the settings with their static addresses, including this member if
 *     it is an issuer
 * @param quorum number of issuers' votes that prove a revision
 * @param signatures verifies the votes of the issuers
 */
public record DisseminationMember(
    String name, int place, List<Peer> issuers, int quorum, SignatureScheme signatures) {
  /** Copies the list of issuers. */
  public DisseminationMember {
    issuers = List.copyOf(issuers);
  }

  /** Returns whether this member is an issuer. */
  public boolean isIssuer() {
    return trusts(name);
  }

  /** Returns whether that is the name of an issuer, whose votes count. */
  boolean trusts(String voter) {
    return issuers.stream().anyMatch(issuer -> issuer.name().equals(voter));
  }

  /** Returns the issuers without this member. */
  List<Peer> otherIssuers() {
    return issuers.stream().filter(issuer -> !issuer.name().equals(name)).toList();
  }
}
