/** Tests of the conformance suite for Faktory servers. */
package damsonslip.tools.conformance;
