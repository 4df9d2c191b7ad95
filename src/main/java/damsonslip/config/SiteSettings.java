package damsonslip.config;

import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.policy.api.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings of a site, which is one deployment: those of the scheduling policy, with the names
 * and time limits that the network protocols need.
 *
 * @param settings the settings of the scheduling policy
 * @param classNames the job classes' names, by index
 * @param tenantNames the tenants' names, by index; empty where there are none
 * @param maxTimeBudgetsUs the longest time budget of a request, by class
 * @param zoneNames the zones' names, by index
 * @param machineKindNames the machine kinds' names, by index
 * @param workerIdleTimeoutUs how long workers keep an idle connection before they close it
 * @param connectTimeoutUs the time limit for connecting to a worker
 * @param probeTimeoutUs the time limit for a response to a probe
 * @param sendsRetryAfter whether rejections carry Retry-After
 */
public record SiteSettings(
        Settings settings,
        List<String> classNames,
        List<String> tenantNames,
        List<Long> maxTimeBudgetsUs,
        List<String> zoneNames,
        List<String> machineKindNames,
        long workerIdleTimeoutUs,
        long connectTimeoutUs,
        long probeTimeoutUs,
        boolean sendsRetryAfter) {
    /** A load report that takes longer would be too old to be of use. */
    private static final double PROBE_TIMEOUT_S = 0.5;

    /**
     * Reads the settings object of a configuration.
     *
     * @throws ConfigurationException if a setting is missing or wrong
     */
    public static SiteSettings read(JsonNode conf) throws ConfigurationException {
        // has no safe default: every quota and threshold is divided by the number of schedulers
        if (conf.isObject() && !conf.path("instances").isNumber()) {
            throw new ConfigurationException(
                    "settings: instances, the number of schedulers, is missing");
        }
        Settings settings = SettingsReader.read(conf);
        List<Long> maxTimeBudgets = new ArrayList<>();
        for (JsonNode lane : conf.path("lanes")) {
            maxTimeBudgets.add(micros(lane, "hard_limit_s", 5));
        }
        return new SiteSettings(
                settings,
                names(conf.path("lanes"), "name"),
                names(conf.path("realms"), "name"),
                List.copyOf(maxTimeBudgets),
                names(conf.path("azs"), null),
                names(conf.path("shapes"), null),
                micros(conf.path("limits"), "conn_idle_s", 15),
                micros(conf.path("limits"), "dial_timeout_s", 0.25),
                Math.round(PROBE_TIMEOUT_S * 1e6),
                conf.path("limits").path("retry_after").asBoolean(true));
    }

    /** The longest time budget of a request of this class. */
    public long maxTimeBudgetUs(int jobClass) {
        return maxTimeBudgetsUs.get(jobClass);
    }

    private static long micros(JsonNode node, String name, double fallback) {
        return Math.round(node.path(name).asDouble(fallback) * 1e6);
    }

    private static List<String> names(JsonNode array, String field) {
        List<String> names = new ArrayList<>();
        for (JsonNode entry : array) {
            names.add((field == null ? entry : entry.path(field)).asText());
        }
        return List.copyOf(names);
    }
}
