/**
 * The capacity laboratory: measures how the cost of one scheduler grows with the size of its fleet.
 *
 * <p>Called by the command line ({@code lab scale}, {@code lab slopes}, {@code lab real}) and by
 * nothing that serves, so that its libraries are loaded for it alone. It may depend on the decision
 * module, the settings and the registry's decoding; nothing may depend on it but {@code
 * damsonslip.cli}.
 */
package damsonslip.tools.lab;
