/** Stand-ins for the program's peers, and processes that tests start. Used by tests only. */
package damsonslip.testkit;
