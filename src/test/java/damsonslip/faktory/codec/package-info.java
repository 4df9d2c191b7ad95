/** Tests of the codec of the Faktory protocol. */
package damsonslip.faktory.codec;
