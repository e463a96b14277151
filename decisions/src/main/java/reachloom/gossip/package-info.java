/**
 * The gossip protocol of one node: membership, peer reports, the payload piggybacked on their
 * packets, and the rate limit of signature checks. The package does no I/O; the caller supplies the
 * clock and the seed.
 */
package reachloom.gossip;
