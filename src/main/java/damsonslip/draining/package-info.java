/**
 * When a client's connection is ended while clients are sent away, by an operator's drain or for a successor; no I/O,
 * no clock.
 */
package damsonslip.draining;
