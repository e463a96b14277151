/**
 * What becomes of a request whose id another request has. Clients choose the ids, so that one can
 * name the request of another. Pure: no clock, no sockets.
 */
package reachloom.requestid;
