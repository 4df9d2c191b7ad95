/** Tests of the experiments and of the capacity page that they fill. */
package damsonslip.tools.lab;
