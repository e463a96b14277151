/**
 * The adapter between the simulator's wire and the scheduler: the same decisions as on sockets, in
 * simulated time and for many gateways at once.
 */
package reachloom.simulator;
