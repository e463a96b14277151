/** The soak: drawn runs of gateway processes beside hostile clients, signals and faults. */
package reachloom.lab.soak;
