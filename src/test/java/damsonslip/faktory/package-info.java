/**
 * Tests of the Faktory front: the real program between producers, workers and a store that the
 * tests play, and the reading of its configuration.
 */
package damsonslip.faktory;
