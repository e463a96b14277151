/**
 * The state of the gateway: requests, attempts, connections, tables with generational slots, and
 * one queue of deadlines and timers.
 */
package reachloom.gateway.state;
