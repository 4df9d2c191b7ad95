/** Tests of {@code damsonslip.platform.worker}, without sockets. */
package damsonslip.platform.worker;
