/** The lifecycle of the gateway process: start, warm-up, readiness, reload and shutdown. */
package reachloom.gateway.lifecycle;
