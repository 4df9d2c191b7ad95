package damsonslip.policy.api;

/**
 * The number of schedulers that share the workers has changed.
 *
 * @param schedulerIndex this scheduler's index among them, from 0
 */
public record SchedulersChanged(int schedulers, int schedulerIndex) implements Event {}
