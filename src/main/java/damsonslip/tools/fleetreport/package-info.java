/**
 * Sums the logs of many schedulers, as they are written under {@code deploy/trace.toml}. {@link
 * damsonslip.tools.fleetreport.Line} decodes one line, {@link damsonslip.tools.fleetreport.Fleet}
 * takes the lines of all schedulers in the order of time and follows each query, {@link
 * damsonslip.tools.fleetreport.Second} holds the sums of one second, {@link
 * damsonslip.tools.fleetreport.Loss} names why a query earned nothing, and {@link
 * damsonslip.tools.fleetreport.Report} puts it into words. No files, no clock: the command that
 * reads the folder is {@code damsonslip.cli.FleetCommand}.
 */
package damsonslip.tools.fleetreport;
