/**
 * Plays scripted clients and workers against any server of the Faktory work protocol, and tells where it differs from
 * the protocol's public description. It knows nothing of the rest of the program and shares no code with its fronts:
 * {@link damsonslip.conformance.Wire} speaks from the other side, {@link damsonslip.conformance.Cases} hold what is
 * played, {@link damsonslip.conformance.Conformance} runs them and prints the table.
 */
package damsonslip.conformance;
