package damsonslip.config;

import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.policy.api.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings of a deployment: those of the decisions, with names and limits for the network.
 *
 * @param settings the settings of the decisions
 * @param classNames the job classes' names, by index
 * @param tenantNames the tenants' names, by index; empty where there are none
 * @param maxTimeBudgetsUs the longest time budget of a request, by class
 * @param zoneNames the zones' names, by index
 * @param machineKindNames the machine kinds' names, by index
 * @param workerIdleTimeoutUs the idle timeout of workers, after which they close a connection
 * @param connectTimeoutUs the connect timeout
 * @param probeTimeoutUs the timeout of a probe
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
    /** Older load reports are of no use. */
    private static final double PROBE_TIMEOUT_S = 0.5;

    /**
     * Reads the settings object of a configuration.
     *
     * @throws ConfigurationException if a setting is missing or wrong
     */
    public static SiteSettings read(JsonNode conf) throws ConfigurationException {
        // no default is safe: every quota and threshold is divided by the number of schedulers
        if (conf.isObject() && !conf.path("instances").isNumber()) {
            throw new ConfigurationException(
                    "settings: instances, the number of schedulers, is missing");
        }
        Settings settings = SettingsReader.read(conf);
        List<Long> deadlines = new ArrayList<>();
        for (JsonNode lane : conf.path("lanes")) {
            deadlines.add(micros(lane, "hard_limit_s", 5));
        }
        return new SiteSettings(
                settings,
                names(conf.path("lanes"), "name"),
                names(conf.path("realms"), "name"),
                List.copyOf(deadlines),
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
