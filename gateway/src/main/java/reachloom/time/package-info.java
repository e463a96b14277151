/** The wall clock, which may be stepped, and the clock that spans of time are measured on. */
package reachloom.time;
