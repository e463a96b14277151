/**
 * A model of engines and of how they run queries, independent of sockets and of real time, so that
 * simulated fleets and stand-ins on loopback use the same model.
 */
package reachloom.standin.model;
