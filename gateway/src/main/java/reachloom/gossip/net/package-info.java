/**
 * Gossip on a socket: keys and certificates, the UDP transport with its two threads, and {@link
 * reachloom.gossip.net.GossipNode}, which ties them and the protocol to the gateway's event loop.
 */
package reachloom.gossip.net;
