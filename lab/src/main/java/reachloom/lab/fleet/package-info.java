/**
 * A fleet of gateways among engines, a change log and clients, with faults between them: as processes of the
 * real program on loopback, or in simulated time around the real decisions. One plan, one script of troubles,
 * one workload and one auditor serve both.
 */
package reachloom.lab.fleet;
