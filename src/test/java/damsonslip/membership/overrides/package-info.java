/** Tests of the operators' overrides of the worker list. */
package damsonslip.membership.overrides;
