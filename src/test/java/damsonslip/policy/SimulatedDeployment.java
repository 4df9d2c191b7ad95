package damsonslip.policy;

import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.Limits;
import damsonslip.policy.api.LoadReporting;
import damsonslip.policy.api.Settings;
import java.util.List;

/**
 * The simulated deployment and its traffic.
 *
 * @param schedulers number of schedulers
 * @param configuredSchedulers number of schedulers according to the settings
 */
record SimulatedDeployment(
        int schedulers,
        int configuredSchedulers,
        Guarantees guarantees,
        LoadReporting reporting,
        int workerSlots,
        List<Traffic> traffic,
        double jobsPerSecond) {
    Settings settings(int schedulerIndex) {
        return new Settings(
                configuredSchedulers,
                schedulerIndex % configuredSchedulers,
                schedulerIndex % 2,
                2,
                1,
                classes(),
                List.of(),
                new Limits(4, true, true, 0.002, 0.1),
                guarantees,
                reporting,
                false,
                true,
                4_000);
    }

    /** The distinct job classes; jobs of one class may differ in their slots. */
    List<JobClass> classes() {
        return traffic.stream().map(Traffic::jobClass).distinct().toList();
    }

    double meanWork() {
        return traffic.stream().mapToDouble(part -> part.share() * part.work()).sum();
    }

    /**
     * Returns how many requests of mean work a worker that warms up may receive in the window that
     * ends at this age; more overload it.
     */
    double overloadBound(long ageUs) {
        double capacityShare =
                guarantees.slowStartShareAt(ageUs - guarantees.overloadWindowUs() / 2);
        double requests =
                guarantees.overloadFactor()
                        * capacityShare
                        * workerSlots
                        * guarantees.overloadWindowUs()
                        / meanWork();
        return requests + 2 * Math.sqrt(requests) + 2;
    }

    /**
     * Traffic of one job class.
     *
     * @param workUs work of a job in each of its slots
     * @param share fraction of all jobs
     */
    record Traffic(JobClass jobClass, double workUs, int slots, double share) {
        double work() {
            return workUs * slots;
        }
    }
}
