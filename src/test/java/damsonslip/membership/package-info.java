/**
 * Tests of the watch on discovery and of the lease of its list, among them a model of discovery.
 */
package damsonslip.membership;
