/** Tests of the guards that check the rules at run time. */
package damsonslip.engine.invariants;
