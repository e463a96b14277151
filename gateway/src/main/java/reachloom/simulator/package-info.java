/**
 * The adapter between the simulator's protocol and the scheduler: runs the same scheduler as the
 * gateway on sockets, in simulated time and for many gateways at once.
 */
package reachloom.simulator;
