/**
 * Limits on slow peers: a minimum data rate for one direction of a connection, and a budget for the
 * bytes buffered on all of them. No I/O, no clock, no threads, and independent of any protocol: a
 * frontend reports the bytes transferred to {@link damsonslip.transport.datarate.MinimumDataRate}
 * and asks it whether the peer is too slow. Has no dependencies on other packages.
 */
package damsonslip.transport.datarate;
