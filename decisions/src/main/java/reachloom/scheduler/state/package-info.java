/** Plain holders and neutral containers for what a gateway knows; nothing here decides. */
package reachloom.scheduler.state;
