/**
 * The soak test: real schedulers on loopback with faulty clients, workers, discovery and network,
 * checked from outside. Run by {@code lab soak}; the tests of single faults also use its fault
 * library. The scheduler itself does not depend on this package.
 */
package damsonslip.tools.lab.soak;
