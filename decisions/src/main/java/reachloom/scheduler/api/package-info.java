/**
 * The interface of the scheduler: the events that a front reports, the actions that it carries out,
 * and the settings that it hands over. All times are nanoseconds; {@code now} is the front's
 * monotonic clock and never goes back.
 */
package reachloom.scheduler.api;
