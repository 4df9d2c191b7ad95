/** Tests of the stores and of the stored form of jobs. */
package damsonslip.store;
