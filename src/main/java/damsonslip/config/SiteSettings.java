package damsonslip.config;

import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.policy.api.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings that the decisions go by, with the names and limits that only the sockets need.
 *
 * @param settings for the decisions
 * @param classNames the job classes' names, by index
 * @param tenantNames the tenants' names, by index; empty where there are none
 * @param deadlinesUs how long clients wait at the most, by class
 * @param zoneNames the zones' names, by index
 * @param kindNames the machine kinds' names, by index
 * @param idleUs after this time a worker closes an idle connection
 * @param connectUs within this time a connection has to be up
 * @param probeUs within this time a probe has to be answered
 * @param retryAfter whether clients are told when to come back
 */
public record SiteSettings(
        Settings settings,
        List<String> classNames,
        List<String> tenantNames,
        List<Long> deadlinesUs,
        List<String> zoneNames,
        List<String> kindNames,
        long idleUs,
        long connectUs,
        long probeUs,
        boolean retryAfter) {
    /**
     * A report that has taken longer is too old to go by. The settings do not say how long workers
     * take.
     */
    private static final double PROBE_S = 0.5;

    public static SiteSettings read(JsonNode conf) throws ConfigurationException {
        if (conf.isObject()
                && !conf.path("instances")
                        .isNumber()) { // all shares follow from it: no guess is safe
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
                Math.round(PROBE_S * 1e6),
                conf.path("limits").path("retry_after").asBoolean(true));
    }

    public long deadlineUs(int jobClass) {
        return deadlinesUs.get(jobClass);
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
