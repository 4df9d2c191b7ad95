/**
 * Adapter between the simulator's protocol and the scheduling policy, run by the command {@code
 * simhost}. {@link damsonslip.tools.simulator.SimHost} processes the batches of events and writes
 * the actions, {@code WireLine} decodes one line of input. The names of fields and commands are
 * fixed by the protocol.
 */
package damsonslip.tools.simulator;
