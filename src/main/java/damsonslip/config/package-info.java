/**
 * Reads the configuration file of a scheduler into typed settings, and reports errors as one-line
 * messages. Called by the command line, the fronts and the tools at a start and at a reload; may
 * use {@code policy.api}. The platform's names of settings are mapped to the program's terms here
 * and nowhere else.
 */
package damsonslip.config;
