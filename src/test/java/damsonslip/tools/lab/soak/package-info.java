/** Tests of the soak. */
package damsonslip.tools.lab.soak;
