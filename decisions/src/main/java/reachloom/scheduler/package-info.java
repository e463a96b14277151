/** How long engines take, compared with each other. */
package reachloom.scheduler;
