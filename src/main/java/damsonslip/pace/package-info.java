/**
 * Whether a peer keeps up: no I/O, no clock, no threads, and nothing of any protocol. {@link damsonslip.pace.Pace} is one
 * direction of one link while something is due there; a front tells it what moved and asks it for a verdict.
 */
package damsonslip.pace;
