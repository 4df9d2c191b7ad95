/** Tests of the times of a graceful shutdown. */
package damsonslip.engine.shutdown;
