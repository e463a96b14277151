/**
 * Follows the list of engines that service discovery publishes: which events to apply, when to
 * reconnect, and the start times of engines. Pure: no clock, no sockets.
 */
package reachloom.discovery;
