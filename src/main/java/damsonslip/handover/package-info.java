/**
 * What processes of one scheduler tell each other through the folder that an upgrade leaves them: a mark each, whose
 * file lock says that its holder lives, and the bans of the operators. Only this package touches files; what follows
 * from them is decided in {@code kin} and {@code bans}. Off where no second address is set, since there are no upgrades.
 */
package damsonslip.handover;
