/** What a figure grows by with the size that it was measured at. */
package reachloom.lab.slopes;
