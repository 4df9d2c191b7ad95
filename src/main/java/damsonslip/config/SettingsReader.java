package damsonslip.config;

import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.Limits;
import damsonslip.policy.api.LoadReporting;
import damsonslip.policy.api.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the scheduling policy's settings from the JSON object in which the platform supplies them.
 * Unknown keys are ignored, missing ones have defaults. No other class knows the platform's names
 * of these settings.
 */
public final class SettingsReader {
    private static final int ANY_MACHINE_KIND = -1;
    private static final double MICROS_PER_SECOND = 1e6;

    private SettingsReader() {}

    /**
     * Reads a settings object.
     *
     * @throws ConfigurationException if a setting has a value that cannot be used
     */
    public static Settings read(JsonNode conf) throws ConfigurationException {
        if (conf == null || !conf.isObject()) {
            throw new ConfigurationException("settings: conf is not an object");
        }
        try {
            return new Settings(
                    integer(conf, "instances", 1),
                    integer(conf, "slot_no", 0),
                    integer(conf, "zone", 0),
                    Math.max(1, conf.path("azs").size()),
                    Math.max(1, conf.path("shapes").size()),
                    classes(conf),
                    quotas(conf),
                    limits(conf),
                    guarantees(conf.path("guarantees")),
                    loadReporting(conf),
                    pollsWorkerList(conf.path("registry_mode")),
                    conf.path("specifics").path("tells_start").asBoolean(false),
                    micros(conf, "tick_s", 0.001));
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException(e.getMessage());
        }
    }

    private static List<JobClass> classes(JsonNode conf) throws ConfigurationException {
        List<JobClass> classes = new ArrayList<>();
        for (JsonNode lane : conf.path("lanes")) {
            classes.add(jobClass(lane, conf.path("specifics"), classes.size()));
        }
        return classes;
    }

    private static JobClass jobClass(JsonNode lane, JsonNode specifics, int index)
            throws ConfigurationException {
        double runTimeFactor = number(lane, "aim_stretch", 0);
        Idempotency idempotency = idempotency(lane);
        IdempotencyScope idempotencyScope = idempotencyScope(lane);
        return new JobClass(
                micros(lane, "aim_s", 1),
                specifics.path("class_stretch").path(index).asDouble(runTimeFactor),
                number(lane, "value", 1),
                idempotency,
                idempotencyScope,
                micros(lane, "window_s", 0),
                specifics.path("class_kind").path(index).asInt(ANY_MACHINE_KIND));
    }

    private static Idempotency idempotency(JsonNode lane) throws ConfigurationException {
        String semantics = lane.path("semantics").asText("once");
        return switch (semantics) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "by_key" -> Idempotency.IDEMPOTENT_WITH_KEY;
            case "once" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new ConfigurationException("settings: lanes.semantics: " + semantics);
        };
    }

    private static IdempotencyScope idempotencyScope(JsonNode lane) throws ConfigurationException {
        String scope = lane.path("dedup_scope").asText("cell");
        return switch (scope) {
            case "all" -> IdempotencyScope.ALL_WORKERS;
            case "zone" -> IdempotencyScope.ZONE;
            case "cell" -> IdempotencyScope.CELL;
            default -> throw new ConfigurationException("settings: lanes.dedup_scope: " + scope);
        };
    }

    private static List<Double> quotas(JsonNode conf) throws ConfigurationException {
        List<Double> quotas = new ArrayList<>();
        for (JsonNode realm : conf.path("realms")) {
            quotas.add(number(realm, "quota_per_s", 0));
        }
        return quotas;
    }

    private static Limits limits(JsonNode conf) throws ConfigurationException {
        JsonNode limits = conf.path("limits");
        JsonNode prices = conf.path("prices");
        return new Limits(
                integer(limits, "send_cap", 1),
                limits.path("may_cancel").asBoolean(false),
                limits.path("may_probe").asBoolean(false),
                number(prices, "probe", 0),
                number(prices, "cross_zone", 0));
    }

    private static Guarantees guarantees(JsonNode guarantees) throws ConfigurationException {
        return new Guarantees(
                micros(guarantees, "grace_to_answer_s", 0),
                micros(guarantees, "drain_grace_s", 0),
                micros(guarantees, "ask_every_s", 10),
                number(guarantees, "cold_share", 1),
                micros(guarantees, "cold_s", 0),
                number(guarantees, "fall_multiple", 1),
                micros(guarantees, "fall_s", 1));
    }

    private static boolean pollsWorkerList(JsonNode mode) throws ConfigurationException {
        return switch (mode.asText("pushed")) {
            case "on_request" -> true;
            case "pushed" -> false;
            default -> throw new ConfigurationException("settings: registry_mode: " + mode);
        };
    }

    private static LoadReporting loadReporting(JsonNode conf) throws ConfigurationException {
        String mode = conf.path("reporting").path("how").asText("silent");
        return switch (mode) {
            case "piggyback" -> LoadReporting.WITH_RESPONSES;
            case "pull" -> LoadReporting.BY_PROBE;
            case "silent" -> LoadReporting.NONE;
            default -> throw new ConfigurationException("settings: reporting.how: " + mode);
        };
    }

    private static int integer(JsonNode node, String name, int fallback)
            throws ConfigurationException {
        return (int) number(node, name, fallback);
    }

    private static long micros(JsonNode node, String name, double fallback)
            throws ConfigurationException {
        return Math.round(number(node, name, fallback) * MICROS_PER_SECOND);
    }

    private static double number(JsonNode node, String name, double fallback)
            throws ConfigurationException {
        JsonNode value = node.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return fallback;
        }
        if (!value.isNumber()) {
            throw new ConfigurationException("settings: " + name + ": " + value);
        }
        return value.asDouble();
    }
}
