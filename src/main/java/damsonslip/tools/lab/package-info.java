/**
 * Capacity measurements: how the cost of one scheduler grows with the size of its fleet.
 *
 * <p>Used only by the commands {@code lab scale}, {@code lab slopes} and {@code lab real}, never by
 * a serving scheduler, so that the libraries it needs are not loaded there. It may depend on the
 * decision module, the settings and the list decoding; only {@code damsonslip.cli} may depend on
 * it.
 */
package damsonslip.tools.lab;
