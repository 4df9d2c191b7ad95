package damsonslip.policy.api;

import java.util.List;

/**
 * What the dispatcher is told once, before anything else.
 *
 * @param dispatchers how many dispatchers share the workers
 * @param number this one's number among them, from 0
 * @param zone this one's zone
 * @param zones how many zones there are
 * @param kinds how many kinds of worker there are
 * @param classes the job classes
 * @param tenantQuotas jobs a second within each tenant's share, over all dispatchers; or empty
 * @param limits what is allowed
 * @param guarantees the figures of the four rules
 * @param reporting where load reports come from
 * @param listOnRequest whether the list of workers comes only when asked for
 * @param tellsStart whether workers say when a job starts
 * @param tickUs the least time between two events of a dispatcher
 * @param probesTellDrains whether a worker that drains does not answer a probe as one that takes
 *     work
 */
public record Settings(
        int dispatchers,
        int number,
        int zone,
        int zones,
        int kinds,
        List<JobClass> classes,
        List<Double> tenantQuotas,
        Limits limits,
        Guarantees guarantees,
        Reporting reporting,
        boolean listOnRequest,
        boolean tellsStart,
        long tickUs,
        boolean probesTellDrains) {
    public Settings {
        classes = List.copyOf(classes);
        tenantQuotas = List.copyOf(tenantQuotas);
        Requirements.require(!classes.isEmpty(), "settings: classes: there are none");
        Requirements.require(dispatchers >= 1, "settings: dispatchers: " + dispatchers);
        boolean numbered = number >= 0 && number < dispatchers;
        Requirements.require(numbered, "settings: number: " + number + " of " + dispatchers);
        Requirements.require(zone >= 0 && zone < zones, "settings: zone: " + zone + " of " + zones);
        Requirements.require(kinds >= 1, "settings: kinds: " + kinds);
        Requirements.require(tickUs >= 0, "settings: tick: " + tickUs);
        for (JobClass c : classes) {
            Requirements.require(c.aimUs() >= 0, "settings: aim: " + c.aimUs());
            Requirements.require(c.stretch() >= 0, "settings: stretch: " + c.stretch());
            Requirements.require(c.worth() >= 0, "settings: worth: " + c.worth());
            Requirements.require(c.windowUs() >= 0, "settings: window: " + c.windowUs());
            Requirements.require(
                    c.kind() >= -1 && c.kind() < kinds, "settings: kind of a class: " + c.kind());
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
            Reporting reporting,
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
    public Settings among(Divided e) {
        return new Settings(
                e.dispatchers(),
                e.number(),
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
                probesTellDrains);
    }

    /** The same where a worker that drains does not answer a probe as one that takes work. */
    public Settings withProbesThatTellDrains() {
        return new Settings(
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
                true);
    }

    /** Whether workers can be asked themselves whether they take work, where no list holds. */
    public boolean leasesByProbe() {
        return probesTellDrains && listOnRequest && limits.mayProbe();
    }

    /**
     * Rejects an event that names a class, tenant, zone or kind that these settings do not have.
     */
    public void check(Event event) {
        if (event instanceof JobArrived e) {
            Requirements.require(
                    e.jobClass() >= 0 && e.jobClass() < classes.size(),
                    "unknown class: " + e.jobClass());
            int tenants = Math.max(1, tenantQuotas.size());
            Requirements.require(
                    e.tenant() >= 0 && e.tenant() < tenants, "unknown tenant: " + e.tenant());
        } else if (event instanceof ListUpdate e) {
            for (Worker w : e.workers()) {
                Requirements.require(w.kind() < kinds, "unknown kind: " + w.kind());
                Requirements.require(
                        w.zone() >= 0 && w.zone() < zones, "unknown zone: " + w.zone());
            }
        }
    }
}
