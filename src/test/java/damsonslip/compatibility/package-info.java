/**
 * Tests of everything that the program shows to other processes: exchanges recorded from a known
 * version are compared with those of the present one. They start the real program and use sockets,
 * and depend on no class of the program except for the names of its counters.
 */
package damsonslip.compatibility;
