/**
 * How the processes of one scheduler divide its capacity while an upgrade runs two of them side by
 * side. Immutable values without I/O or a clock; {@code handover} reads the lock files that they
 * are derived from. Depends on nothing.
 */
package damsonslip.membership.peers;
