/**
 * Runs scripted clients and workers against any server of the Faktory work protocol, and reports
 * where it differs from the protocol's public description. It shares no code with the server side
 * of this program: {@code faktoryclient} is the client side, {@link
 * damsonslip.tools.conformance.Cases} defines the cases, {@link
 * damsonslip.tools.conformance.Conformance} runs them and prints the table.
 */
package damsonslip.tools.conformance;
