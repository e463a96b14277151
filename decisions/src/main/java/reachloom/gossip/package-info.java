/**
 * One node's gossip as a whole: membership, peer reports and what rides on their packets, and the
 * rate limit before signatures are checked. No I/O; the clock and the seed are handed in.
 */
package reachloom.gossip;
