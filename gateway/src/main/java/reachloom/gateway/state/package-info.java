/**
 * What is kept: numbered slots with generations, and one ordered structure for deadlines and
 * timers.
 */
package reachloom.gateway.state;
