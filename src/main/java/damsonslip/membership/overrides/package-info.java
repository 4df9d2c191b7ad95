/**
 * Worker overrides: workers that an operator has disabled, applied to the list from discovery
 * before the decision module sees it. Used by {@code core.Driver} on the event loop; no I/O and no
 * clock. Depends on the module's event types only.
 */
package damsonslip.membership.overrides;
