/**
 * Coordination between processes of one scheduler during an upgrade, through a shared directory: a
 * lock file for each process shows that it is alive, and another file holds the operators' worker
 * overrides. Only this package accesses these files; {@code membership.peers} and {@code
 * membership.overrides} decide what follows from them. Called by the platform front on the event
 * loop; not used where no management port ("second address") is configured, since upgrades need
 * one. Depends on the engine and on {@code membership}.
 */
package damsonslip.admin.upgrade;
