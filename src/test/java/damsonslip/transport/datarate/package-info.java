/** Tests of the limits on data rates and on shared memory. */
package damsonslip.transport.datarate;
