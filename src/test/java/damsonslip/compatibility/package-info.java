/**
 * Compatibility tests of everything that the program exchanges with other processes: exchanges
 * recorded with a known version are compared with those of the current one. The tests start the
 * real program and use sockets, and depend on no class of the program except for the names of its
 * counters.
 */
package damsonslip.compatibility;
