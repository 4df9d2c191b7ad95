/**
 * Plays scripted clients and workers against any server of the Faktory work protocol, and tells
 * where it differs from the protocol's public description. It shares no code with the program's
 * fronts: {@code faktoryclient} speaks from the other side, {@link
 * damsonslip.tools.conformance.Cases} hold what is played, {@link
 * damsonslip.tools.conformance.Conformance} runs them and prints the table.
 */
package damsonslip.tools.conformance;
