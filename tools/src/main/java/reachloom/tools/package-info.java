/** Command-line tools for operators: keys, certificates, the status of instances, and revisions. */
package reachloom.tools;
