/**
 * The interface of the scheduler: the events that a front reports, the actions that it carries out
 * and the settings that it hands over. Spans of time are nanoseconds unless a name says otherwise.
 * Values only; nothing here decides.
 */
package reachloom.scheduler.api;
