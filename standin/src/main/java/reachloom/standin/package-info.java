/**
 * Test doubles on loopback of the systems around a gateway (engines, the change log, clients), and
 * a handle for the gateway itself as a process. For tests and the laboratory; none of these classes
 * is in the gateway's jar.
 */
package reachloom.standin;
