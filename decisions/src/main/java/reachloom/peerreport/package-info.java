/**
 * What nodes have seen of engines, and what one node makes of the others' reports: counts are
 * shared, never verdicts, and fresh attempts of this node's own take precedence over all that
 * others report. No I/O; the clock is handed in.
 */
package reachloom.peerreport;
