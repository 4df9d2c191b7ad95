/** Which class a job belongs to, by the operator's table: no I/O, no clock. */
package damsonslip.faktory.routing;
