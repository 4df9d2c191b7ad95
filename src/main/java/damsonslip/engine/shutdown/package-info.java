/**
 * Connection draining and the timing of a graceful shutdown: when a client's connection is closed
 * while clients are sent away, by an operator's drain or for an upgrade. Pure functions without I/O
 * or a clock; used by the platform's front.
 */
package damsonslip.engine.shutdown;
