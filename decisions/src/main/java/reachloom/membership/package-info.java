/**
 * Which nodes form the cluster, as each of them believes it: the failure detector and dissemination
 * of SWIM (Das, Gupta, Motivala, DSN 2002) with the additions of Lifeguard (Dadgar, Phillips,
 * Currey, DSN-W 2018). Events come in, messages go out; there is no I/O, and the clock and the
 * random source are handed in. {@link reachloom.membership.MembershipService} is the way in.
 */
package reachloom.membership;
