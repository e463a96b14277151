/** The laboratory's command line: a demonstration run and commands for measurements. */
package reachloom.lab;
