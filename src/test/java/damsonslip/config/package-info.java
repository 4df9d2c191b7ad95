/** Tests of the reading of configuration files. */
package damsonslip.config;
