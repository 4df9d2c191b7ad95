/**
 * Sums the logs of many schedulers, as they are written under {@code deploy/trace.toml}. {@link
 * damsonslip.fleet.Line} decodes one line, {@link damsonslip.fleet.Fleet} takes the lines of all
 * schedulers in the order of time and follows each query, {@link damsonslip.fleet.Second} holds the
 * sums of one second, {@link damsonslip.fleet.Loss} names why a query earned nothing, and {@link
 * damsonslip.fleet.Report} puts it into words. No files, no clock: the command that reads the
 * folder is {@code damsonslip.program.FleetLogs}.
 */
package damsonslip.fleet;
