/**
 * Reads and validates all configuration and applies its defaults: the platform's JSON, the
 * installation's settings in XML, and merge patches that apply to all gateways. Invalid input is a
 * {@link reachloom.config.ConfigException} that names the key, or the file and line.
 */
package reachloom.config;
