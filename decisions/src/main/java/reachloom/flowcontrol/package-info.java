/**
 * How much unfinished work each connection may cause, so that none delays others or exhausts the
 * memory of the process. Pure: no clock, no sockets.
 */
package reachloom.flowcontrol;
