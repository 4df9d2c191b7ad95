/**
 * The command line: selects a command, runs the process of a scheduler and handles its signals.
 * Called by the JVM only; may use every other package.
 */
package damsonslip.cli;
