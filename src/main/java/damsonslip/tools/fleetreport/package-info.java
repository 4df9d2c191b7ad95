/**
 * Adds up the logs of many schedulers that run with {@code deploy/trace.toml}. {@link
 * damsonslip.tools.fleetreport.TraceLine} parses one line, {@link
 * damsonslip.tools.fleetreport.Fleet} follows each request through the lines of all schedulers in
 * order of time, {@link damsonslip.tools.fleetreport.Second} holds the totals of one second, {@link
 * damsonslip.tools.fleetreport.Loss} names why a request did not earn its priority weight, and
 * {@link damsonslip.tools.fleetreport.Report} formats the result. The package uses no files and no
 * clock: the command that reads the directory is {@code damsonslip.cli.FleetCommand}.
 */
package damsonslip.tools.fleetreport;
