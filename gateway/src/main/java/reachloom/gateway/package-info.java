/**
 * The gateway on sockets: one event loop thread owns all state, hosts one scheduler and reports
 * events to it.
 */
package reachloom.gateway;
