/**
 * Reports of nodes on the health of engines, and the assessment of peers' reports by one node:
 * nodes share counts, never verdicts, and recent attempts by the node itself take precedence over
 * all reports. The package does no I/O; the caller supplies the clock.
 */
package reachloom.peerreport;
