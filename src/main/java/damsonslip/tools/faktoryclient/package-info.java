/**
 * A blocking client of Faktory's work protocol for the command-line tools {@code bench} and {@code
 * conformance}. It shares no code with the scheduler's own fronts, so that it cannot repeat their
 * mistakes, and depends on nothing of the program.
 */
package damsonslip.tools.faktoryclient;
