/**
 * Tests of the Faktory frontend: the real program with producers, workers and a store that the
 * tests simulate, and the reading of its configuration.
 */
package damsonslip.faktory;
