/** What operators need beside a running gateway: keys, certificates, and questions to instances. */
package reachloom.tools;
