/**
 * Runs a whole installation at its planned size under a fault script: some gateways are processes
 * of the program, the others are synthetic (the same modules and sockets, many in one process,
 * without clients); control machines and a source of configuration complete the installation.
 */
package reachloom.lab.scale;
