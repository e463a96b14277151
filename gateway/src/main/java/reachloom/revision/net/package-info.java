/**
 * The server process of an issuer: its store on disk, its spool for operators, and their connection
 * to the gossip protocol.
 */
package reachloom.revision.net;
