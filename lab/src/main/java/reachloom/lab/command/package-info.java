/** Interface of the laboratory's commands, parsing of their options and output of their figures. */
package reachloom.lab.command;
