/**
 * Gossip over UDP: keys and certificates, the transport with its two threads, and {@link
 * reachloom.gossip.net.GossipNode}, which connects them and the protocol to the gateway's event
 * loop.
 */
package reachloom.gossip.net;
