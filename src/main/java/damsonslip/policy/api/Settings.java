package damsonslip.policy.api;

import java.util.List;

/**
 * Settings of one scheduler.
 *
 * @param schedulers how many schedulers share the workers
 * @param schedulerIndex this scheduler's index among them, from 0
 * @param zone this scheduler's zone
 * @param zones number of zones
 * @param kinds number of kinds of workers
 * @param classes the job classes
 * @param tenantQuotas jobs a second that each tenant may send to all schedulers together; empty if
 *     there are no quotas
 * @param limits limits and prices
 * @param guarantees the figures of the guarantees that the schedulers have to keep
 * @param loadReporting how load reports are obtained
 * @param pollsWorkerList whether discovery sends the worker list only when it is polled, instead of
 *     pushing it
 * @param reportsJobStart whether workers report that a job starts
 * @param tickUs minimum time between two events of a scheduler
 * @param probesReportDraining whether a draining worker's answer to a probe differs from that of
 *     one that accepts jobs
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
    /** Checks the ranges. */
    public Settings {
        classes = List.copyOf(classes);
        tenantQuotas = List.copyOf(tenantQuotas);
        Requirements.require(!classes.isEmpty(), "settings: classes: there are none");
        Requirements.require(schedulers >= 1, "settings: dispatchers: " + schedulers);
        boolean validIndex = schedulerIndex >= 0 && schedulerIndex < schedulers;
        Requirements.require(
                validIndex, "settings: number: " + schedulerIndex + " of " + schedulers);
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

    /** Creates settings for a deployment where probes do not show draining. */
    public Settings(
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
            long tickUs) {
        this(
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
                false);
    }

    /** Returns these settings with another number of schedulers. */
    public Settings withSchedulers(SchedulersChanged change) {
        return new Settings(
                change.schedulers(),
                change.schedulerIndex(),
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

    /** Returns these settings for a deployment where probes show draining. */
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

    /** Returns whether workers are probed for leases while no worker list is valid. */
    public boolean leasesWorkersByProbe() {
        return probesReportDraining && pollsWorkerList && limits.mayProbe();
    }

    /**
     * Checks an event against these settings.
     *
     * @throws IllegalArgumentException if it names an unknown class, tenant, zone or kind
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
