/**
 * The timing of connection draining and of a graceful shutdown: when a client's connection is
 * closed after an operator's drain, for an upgrade or after the signal to end, and how long the
 * program accepts and answers requests after that signal. Used by the platform's front.
 *
 * <p>Pure functions; no I/O, no clock, no threads; depends on no other package.
 */
package damsonslip.engine.shutdown;
