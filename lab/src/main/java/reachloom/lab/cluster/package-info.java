/**
 * The components of a laboratory run: a plan, a script of faults, a model of engines and lists,
 * clients, gateway processes, and a checker of the run's history. Each command combines those that
 * it needs.
 */
package reachloom.lab.cluster;
