/** The wall clock, which may be stepped, and the monotonic clock for measuring durations. */
package reachloom.time;
