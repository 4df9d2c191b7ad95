/**
 * The operators' commands and metrics, shared by the console and the management port, which decode
 * their requests and call {@code Operations}. Runs on the event loop, so that a response is a
 * consistent snapshot. Depends on {@code engine}; does no I/O.
 */
package damsonslip.admin.operations;
