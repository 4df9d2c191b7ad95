/** Tests of the TCP transport: reading, writing, accepting and closing connections. */
package damsonslip.transport;
