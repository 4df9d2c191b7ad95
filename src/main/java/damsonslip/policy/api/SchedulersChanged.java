package damsonslip.policy.api;

/**
 * From now on so many dispatchers count as sharing the workers, and this one has that number among
 * them.
 */
public record SchedulersChanged(int schedulers, int schedulerIndex) implements Event {}
