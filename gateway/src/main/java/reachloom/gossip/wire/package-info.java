/** The datagrams of gossip: pure codecs, bytes in and values out. */
package reachloom.gossip.wire;
