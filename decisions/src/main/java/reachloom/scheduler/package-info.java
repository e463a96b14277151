/**
 * The scheduler of one gateway: admission control, choice of an engine, adaptive concurrency
 * limits, retries, outlier detection and health checks. {@link reachloom.scheduler.QueryScheduler}
 * passes each event to the parts in order. Each part keeps its state private, also what it records
 * of an engine, a query or an attempt. Pure: no clock, no I/O, no threads; all times are
 * nanoseconds of the front end's clock.
 */
package reachloom.scheduler;
