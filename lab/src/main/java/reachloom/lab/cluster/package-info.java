/**
 * What plays are made of: a plan, a script of troubles, the world of engines and lists, clients,
 * processes of the program, and the auditor. Each command that plays something puts its own
 * together from these.
 */
package reachloom.lab.cluster;
