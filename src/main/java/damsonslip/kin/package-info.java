/**
 * Processes that are one scheduler to everybody else while an upgrade lasts: who came before, who serves, and how they
 * divide what belongs to one. No I/O, no clock; {@code handover} reads the marks that this goes by.
 */
package damsonslip.kin;
