/** The laboratory's command line: a first run to look at, and measurements. */
package reachloom.lab;
