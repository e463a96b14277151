/**
 * A fleet of gateways under a script of faults: as processes of the program, or in simulated time
 * with the real scheduler or with a baseline policy to compare it with.
 */
package reachloom.lab.fleet;
