/** Containers without rules: a moving average, a sum over a sliding window, a token bucket. */
package reachloom.scheduler.state;
