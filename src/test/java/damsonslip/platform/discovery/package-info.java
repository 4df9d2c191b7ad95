/** Tests of {@code damsonslip.platform.discovery}, without sockets. */
package damsonslip.platform.discovery;
