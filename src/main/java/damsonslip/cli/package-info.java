/**
 * The command line: chooses a command, and runs the process of a scheduler with its signals. Called
 * by the JVM alone; may use every other package.
 */
package damsonslip.cli;
