/**
 * The interface of the scheduler: the events that its front end reports, the actions that the front
 * end carries out, and the settings. The front end is the gateway on sockets or the simulator
 * adapter. Durations are nanoseconds unless a name says otherwise. Contains values and interfaces
 * only, no scheduling rules.
 */
package reachloom.scheduler.api;
