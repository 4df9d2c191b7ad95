package damsonslip.tools.lab;

import damsonslip.config.ConfigurationException;

/** Measured quantities with their role, unit and, where {@link Goal} defines one, budget. */
enum Measure {
    FULL_LIST_BYTES("discovery watch", "whole list", "bytes", Double.NaN),
    CHANGE_BYTES("discovery watch", "list change", "bytes", Double.NaN),
    FULL_LIST_SECONDS("discovery watch", "whole list at 4 KB/s", "s", Goal.MAX_PROPAGATION_SECONDS),
    FULL_LIST_ALL_BYTES("discovery watch", "whole list to 300 schedulers", "bytes", Double.NaN),
    DECODE_LIST_CPU("discovery watch", "decode whole list, CPU", "ms", Double.NaN),
    DECODE_CHANGE_CPU("discovery watch", "decode and apply one change, CPU", "ms", Double.NaN),
    OUTAGE_CALLS_PER_SECOND(
            "discovery watch", "calls to a discovery that is down", "1/s", Double.NaN),
    CALL_SLOT_MS("discovery watch", "discovery's time for each call in a cycle", "ms", Double.NaN),
    RECOVERY_SECONDS(
            "discovery watch",
            "last scheduler served after discovery's return, 10 ms a call",
            "s",
            Goal.MAX_PROPAGATION_SECONDS),
    RECOVERY_SLOW_CALLS_SECONDS(
            "discovery watch",
            "last scheduler served after discovery's return, 30 ms a call",
            "s",
            Goal.MAX_PROPAGATION_SECONDS),
    CHANGE_CPU("decision module", "one change of the list, CPU", "ms", Double.NaN),
    DEAL_CPU("decision module", "periodic deal without a change, CPU", "ms", Double.NaN),
    CONTROL_SHARE(
            "decision module", "deals and changes, part of a core", "%", Goal.MAX_CORE_PERCENT),
    JOB_CPU("decision module", "one job, all its events, CPU", "us", Double.NaN),
    JOB_CPU_TAIL("decision module", "one job's arrival, CPU, 99th percentile", "us", Double.NaN),
    RACK_CPU("decision module", "a rack of 20 lost worker by worker, CPU", "ms", Double.NaN),
    ZONE_CPU(
            "decision module",
            "a twelfth of the workers lost in one update, CPU",
            "ms",
            Double.NaN),
    REGION_CPU("decision module", "a quarter of the workers lost and back, CPU", "ms", Double.NaN),
    RELEASE_CPU(
            "decision module", "all workers replaced one by one, CPU (estimated)", "s", Double.NaN),
    LIST_AND_POLICY_HEAP(
            "decision module", "retained heap of the list and the module", "KB", Double.NaN),
    REMOVED_WORKERS_HEAP(
            "decision module", "retained heap of 650 workers that left", "KB", Double.NaN),
    REPORT_AGE("reports", "median age of a worker's report, reports in answers", "s", Double.NaN),
    REPORTED_SHARE("reports", "workers heard of within 60 s", "%", Double.NaN),
    REPORT_AGE_MEAN(
            "reports",
            "time between two reports of a worker in answers (estimated)",
            "s",
            Goal.MAX_REPORT_AGE_SECONDS),
    PROBE_AGE(
            "reports",
            "age of a report by probes within 4 KB/s (estimated)",
            "s",
            Goal.MAX_REPORT_AGE_SECONDS),
    START_CPU("settings", "first list decoded and dealt, CPU", "ms", Double.NaN),
    PROCESS_RSS("real process", "resident memory", "MB", Double.NaN),
    PROCESS_READY("real process", "start to ready", "s", Double.NaN),
    PROCESS_START_CPU("real process", "CPU from start to ready", "ms", Double.NaN),
    PROCESS_HEAP("real process", "heap after collection", "KB", Double.NaN),
    PROCESS_CHANGE_CPU("real process", "one change of the list, CPU", "ms", Double.NaN),
    PROCESS_IDLE("real process", "idle before changes, part of a core", "%", Goal.MAX_CORE_PERCENT),
    PROCESS_BACKLOG(
            "real process", "in the 10 s right after 50 changes, part of a core", "%", Double.NaN),
    PROCESS_IDLE_AFTER(
            "real process",
            "idle once 50 changes are worked off, part of a core",
            "%",
            Goal.MAX_CORE_PERCENT),
    PROCESSES_STARTED("real process", "processes ready side by side", "processes", Double.NaN);

    final String role;
    final String label;
    final String unit;

    /** Upper limit in the unit of this measure; NaN if {@link Goal} defines none. */
    final double budget;

    Measure(String role, String label, String unit, double budget) {
        this.role = role;
        this.label = label;
        this.unit = unit;
        this.budget = budget;
    }

    static Measure byLabel(String role, String label) throws ConfigurationException {
        for (Measure measure : values()) {
            if (measure.role.equals(role) && measure.label.equals(label)) {
                return measure;
            }
        }
        throw new ConfigurationException("lab: unknown measure: " + role + ", " + label);
    }
}
