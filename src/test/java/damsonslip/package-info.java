/** Tests of the whole: the order of the packages, and the deploy file. */
package damsonslip;
