package damsonslip.policy.api;

import java.util.List;

/**
 * What the dispatcher is told once, before anything else.
 *
 * @param schedulers how many dispatchers share the workers
 * @param schedulerIndex this one's number among them, from 0
 * @param zone this one's zone
 * @param zones how many zones there are
 * @param kinds how many kinds of worker there are
 * @param classes the job classes
 * @param tenantQuotas jobs a second within each tenant's share, over all dispatchers; or empty
 * @param limits what is allowed
 * @param guarantees the figures of the four rules
 * @param loadReporting where load reports come from
 * @param pollsWorkerList whether the list of workers comes only when asked for
 * @param reportsJobStart whether workers say when a job starts
 * @param tickUs the least time between two events of a dispatcher
 * @param probesReportDraining whether a worker that drains does not answer a probe as one that
 *     takes work
 */
public record Settings(
        int schedulers,
        int schedulerIndex,
        int zone,
        int zones,
        int kinds,
        List<JobClass> classes,
        List<Double> tenantQuotas,
        Limits limits,
        Guarantees guarantees,
        LoadReporting loadReporting,
        boolean pollsWorkerList,
        boolean reportsJobStart,
        long tickUs,
        boolean probesReportDraining) {
    public Settings {
        classes = List.copyOf(classes);
        tenantQuotas = List.copyOf(tenantQuotas);
        Requirements.require(!classes.isEmpty(), "settings: classes: there are none");
        Requirements.require(schedulers >= 1, "settings: dispatchers: " + schedulers);
        boolean numbered = schedulerIndex >= 0 && schedulerIndex < schedulers;
        Requirements.require(numbered, "settings: number: " + schedulerIndex + " of " + schedulers);
        Requirements.require(zone >= 0 && zone < zones, "settings: zone: " + zone + " of " + zones);
        Requirements.require(kinds >= 1, "settings: kinds: " + kinds);
        Requirements.require(tickUs >= 0, "settings: tick: " + tickUs);
        for (JobClass c : classes) {
            Requirements.require(
                    c.latencyObjectiveUs() >= 0, "settings: aim: " + c.latencyObjectiveUs());
            Requirements.require(c.runTimeFactor() >= 0, "settings: stretch: " + c.runTimeFactor());
            Requirements.require(c.priorityWeight() >= 0, "settings: worth: " + c.priorityWeight());
            Requirements.require(
                    c.idempotencyWindowUs() >= 0, "settings: window: " + c.idempotencyWindowUs());
            Requirements.require(
                    c.workerKind() >= -1 && c.workerKind() < kinds,
                    "settings: kind of a class: " + c.workerKind());
        }
        for (double quota : tenantQuotas) {
            Requirements.require(quota >= 0, "settings: quota: " + quota);
        }
    }

    /** Settings of a site where probes tell nothing of drains. */
    public Settings(
            int dispatchers,
            int number,
            int zone,
            int zones,
            int kinds,
            List<JobClass> classes,
            List<Double> tenantQuotas,
            Limits limits,
            Guarantees guarantees,
            LoadReporting reporting,
            boolean listOnRequest,
            boolean tellsStart,
            long tickUs) {
        this(
                dispatchers,
                number,
                zone,
                zones,
                kinds,
                classes,
                tenantQuotas,
                limits,
                guarantees,
                reporting,
                listOnRequest,
                tellsStart,
                tickUs,
                false);
    }

    /** The same for one of so many dispatchers. */
    public Settings withSchedulers(SchedulersChanged e) {
        return new Settings(
                e.schedulers(),
                e.schedulerIndex(),
                zone,
                zones,
                kinds,
                classes,
                tenantQuotas,
                limits,
                guarantees,
                loadReporting,
                pollsWorkerList,
                reportsJobStart,
                tickUs,
                probesReportDraining);
    }

    /** The same where a worker that drains does not answer a probe as one that takes work. */
    public Settings withProbesReportingDraining() {
        return new Settings(
                schedulers,
                schedulerIndex,
                zone,
                zones,
                kinds,
                classes,
                tenantQuotas,
                limits,
                guarantees,
                loadReporting,
                pollsWorkerList,
                reportsJobStart,
                tickUs,
                true);
    }

    /** Whether workers can be asked themselves whether they take work, where no list holds. */
    public boolean leasesWorkersByProbe() {
        return probesReportDraining && pollsWorkerList && limits.mayProbe();
    }

    /**
     * Rejects an event that names a class, tenant, zone or kind that these settings do not have.
     */
    public void validate(Event event) {
        if (event instanceof JobArrived e) {
            Requirements.require(
                    e.jobClass() >= 0 && e.jobClass() < classes.size(),
                    "unknown class: " + e.jobClass());
            int tenants = Math.max(1, tenantQuotas.size());
            Requirements.require(
                    e.tenant() >= 0 && e.tenant() < tenants, "unknown tenant: " + e.tenant());
        } else if (event instanceof WorkerListUpdate e) {
            for (WorkerEntry w : e.workers()) {
                Requirements.require(w.kind() < kinds, "unknown kind: " + w.kind());
                Requirements.require(
                        w.zone() >= 0 && w.zone() < zones, "unknown zone: " + w.zone());
            }
        }
    }
}
