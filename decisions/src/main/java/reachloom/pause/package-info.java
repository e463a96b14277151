/**
 * When events that a process noticed late have arrived: spans in which the process did not run, and
 * connections that waited to be accepted. Pure: no clock, no sockets.
 */
package reachloom.pause;
