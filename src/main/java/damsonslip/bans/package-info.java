/**
 * Workers that operators have taken out by hand, and how that changes what the decisions are told of the list. No I/O,
 * no clock, no threads: {@code core.Driver} hands every list through it, and {@code handover} keeps its text.
 */
package damsonslip.bans;
