/**
 * Coordination between processes of one scheduler during an upgrade, through a shared directory: a
 * lock file for each process shows that it is alive, and another file holds the operators' worker
 * overrides. This is the only package that touches these files; {@code peers} and {@code overrides}
 * decide what follows from them. Called by the platform's front on the event loop. Not used where
 * no second address is configured, since upgrades need one.
 */
package damsonslip.admin.upgrade;
