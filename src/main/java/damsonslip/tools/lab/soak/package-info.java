/**
 * The soak test: real schedulers on loopback between clients, workers, discovery and a network that
 * all misbehave, judged from outside. Run by {@code lab soak}; its fault library is also used by
 * the tests of single faults. Nothing of the program depends on this package.
 */
package damsonslip.tools.lab.soak;
