/**
 * The wire format of gossip: pure codecs, bytes in and values out, one a family of messages. {@link
 * reachloom.gossip.wire.GossipCodec} is the one that others use.
 */
package reachloom.gossip.wire;
