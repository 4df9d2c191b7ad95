package damsonslip.policy.api;

/**
 * A job class.
 *
 * @param aimUs an answer within this time, plus stretch times the running time, earns full worth
 * @param stretch how much of its own running time extends the aim
 * @param worth what a job in time is worth
 * @param effect what a repeat does
 * @param group for keyed jobs, who drops repeats
 * @param windowUs for keyed jobs, for how long after the first send
 * @param kind the only kind of worker that runs it, or -1
 */
public record JobClass(
        long aimUs,
        double stretch,
        double worth,
        Effect effect,
        Group group,
        long windowUs,
        int kind) {}
