/** The adapter between the simulator's wire and the decision module. */
package reachloom.simulator;
