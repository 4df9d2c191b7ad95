/** Tests of {@code damsonslip.platform.codec}, without sockets. */
package damsonslip.platform.codec;
