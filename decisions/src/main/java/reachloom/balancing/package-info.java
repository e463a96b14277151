/**
 * How one gateway of many keeps the load even though it sees little of it: its part of the pool's
 * work, and the engines that it keeps to. Pure: no clock, no chance, no sockets.
 */
package reachloom.balancing;
