/**
 * The wire format of gossip: stateless codecs, one for each family of messages. Other packages use
 * {@link reachloom.gossip.wire.GossipCodec}.
 */
package reachloom.gossip.wire;
