/**
 * A load for the Faktory front: jobs pushed, fetched and acknowledged over so many connections,
 * with the time that each command took. Closed loop: each connection has one command under way, so
 * that the figures are those of a server at its limit, not of a site at a given rate.
 */
package damsonslip.tools.load;
