/** Tests of {@code damsonslip.admin.management}: the parsing of operators' lines. */
package damsonslip.admin.management;
