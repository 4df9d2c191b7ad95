/** Tests of {@code damsonslip.platform.client}, without sockets. */
package damsonslip.platform.client;
