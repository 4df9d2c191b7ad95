/**
 * How the processes of one scheduler divide its capacity while two of them run during an upgrade.
 * Immutable values without I/O or a clock; {@code admin.upgrade} derives them from its lock files,
 * and the engine divides its capacity by them. Depends on nothing.
 */
package damsonslip.membership.peers;
