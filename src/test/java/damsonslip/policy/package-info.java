/** Tests of the decision module, on a clock and with events that the tests choose. */
package damsonslip.policy;
