/**
 * The wire protocols of the gateway: codecs for clients, engines and the change log, without I/O of
 * their own, and the handlers that connect them to sockets (Apache MINA).
 */
package reachloom.gateway.wire;
