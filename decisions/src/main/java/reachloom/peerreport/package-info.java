/**
 * What instances have seen of engines, and what one may make of the others' word: counts are
 * shared, never verdicts. Own fresh evidence goes before all that others say.
 */
package reachloom.peerreport;
