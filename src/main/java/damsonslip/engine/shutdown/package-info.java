/**
 * The timing of connection draining and of a graceful shutdown: when a client's connection is
 * closed after an operator's drain, during an upgrade or after the termination signal, and how long
 * the process accepts and answers requests after that signal. Used by the platform's frontend.
 *
 * <p>Pure functions; no I/O, no clock, no threads; depends on no other package.
 */
package damsonslip.engine.shutdown;
