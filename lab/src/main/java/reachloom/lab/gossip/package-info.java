/** Measures gossip under failures, with a simulated clock and network and on loopback sockets. */
package reachloom.lab.gossip;
