/**
 * The configuration of the whole installation as an ordered log of revisions: the consensus among
 * the issuers, the dissemination to all members, and the acknowledgements of members that have a
 * revision in force. The code does no I/O; callers pass in the time.
 */
package reachloom.revision;
