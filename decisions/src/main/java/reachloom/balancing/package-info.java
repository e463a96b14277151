/**
 * Load balancing by each gateway on its own, without messages between gateways: the estimate of a
 * gateway's share of the pool, its subset of engines, and the rotation of slots. Pure: no clock, no
 * random numbers, no sockets.
 */
package reachloom.balancing;
