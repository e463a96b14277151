/**
 * The one place where configuration is read, checked and given defaults: the platform's JSON, the
 * installation's settings in XML, and documents that are to hold for all gateways. What can't be
 * used is a {@link reachloom.config.ConfigException} that names the key, or the file and line.
 */
package reachloom.config;
