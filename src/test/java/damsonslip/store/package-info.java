/** Tests of the stores and of the stored form of job records. */
package damsonslip.store;
