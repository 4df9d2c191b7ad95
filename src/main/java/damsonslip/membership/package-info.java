/**
 * What a scheduler knows of the service that names its workers: when to call it, and for how long
 * its last list may be used. Called by the decision module on the loop; depends on nothing, and has
 * no I/O, clock or threads of its own.
 */
package damsonslip.membership;
