/**
 * The operators' commands and metrics, implemented once: the console and the management port decode
 * their own requests and call {@code Operations}. Runs on the event loop, so that one response is a
 * consistent snapshot. Depends on {@code engine}; no I/O of its own.
 */
package damsonslip.admin.operations;
