/**
 * Cluster membership, as seen by each node: the failure detector and dissemination of SWIM (Das,
 * Gupta, Motivala, DSN 2002) with the additions of Lifeguard (Dadgar, Phillips, Currey, DSN-W
 * 2018). The package turns events into messages; it does no I/O, and the caller supplies the clock
 * and the random source. {@link reachloom.membership.MembershipService} is the entry point.
 */
package reachloom.membership;
