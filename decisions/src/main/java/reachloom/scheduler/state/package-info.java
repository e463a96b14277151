/** Data structures without scheduling rules: moving average, sliding-window sum, token bucket. */
package reachloom.scheduler.state;
