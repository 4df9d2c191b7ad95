/** Tests of the command line and its commands. */
package damsonslip.cli;
