/** Tests of the directory that the processes of one scheduler share. */
package damsonslip.admin.upgrade;
