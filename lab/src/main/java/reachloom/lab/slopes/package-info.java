/**
 * Measures the marginal cost of a statement, a connection and an engine for one gateway process:
 * each is measured at several sizes in one run, and a straight line is fitted with its deviations.
 * Cost is processor time instead of wall-clock time, because other load on the machine affects it
 * less.
 */
package reachloom.lab.slopes;
