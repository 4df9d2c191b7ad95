/** Tests of the console against the real program. */
package damsonslip.admin.console;
