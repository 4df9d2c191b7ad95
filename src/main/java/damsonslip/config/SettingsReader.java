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
 * Turns the wire's settings into the library's; unknown keys are ignored, absent ones take
 * defaults.
 */
public final class SettingsReader {
    private SettingsReader() {}

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
                    reporting(conf),
                    listOnRequest(conf.path("registry_mode")),
                    conf.path("specifics").path("tells_start").asBoolean(false),
                    micros(conf, "tick_s", 0.001));
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException(e.getMessage());
        }
    }

    private static List<JobClass> classes(JsonNode conf) throws ConfigurationException {
        JsonNode specifics = conf.path("specifics");
        List<JobClass> classes = new ArrayList<>();
        for (JsonNode lane : conf.path("lanes")) {
            int i = classes.size();
            double stretch =
                    specifics
                            .path("class_stretch")
                            .path(i)
                            .asDouble(number(lane, "aim_stretch", 0));
            String semantics = lane.path("semantics").asText("once");
            Idempotency effect =
                    switch (semantics) {
                        case "repeatable" -> Idempotency.IDEMPOTENT;
                        case "by_key" -> Idempotency.IDEMPOTENT_WITH_KEY;
                        case "once" -> Idempotency.NOT_IDEMPOTENT;
                        default ->
                                throw new ConfigurationException(
                                        "settings: lanes.semantics: " + semantics);
                    };
            String scope = lane.path("dedup_scope").asText("cell");
            IdempotencyScope group =
                    switch (scope) {
                        case "all" -> IdempotencyScope.ALL_WORKERS;
                        case "zone" -> IdempotencyScope.ZONE;
                        case "cell" -> IdempotencyScope.CELL;
                        default ->
                                throw new ConfigurationException(
                                        "settings: lanes.dedup_scope: " + scope);
                    };
            classes.add(
                    new JobClass(
                            micros(lane, "aim_s", 1),
                            stretch,
                            number(lane, "value", 1),
                            effect,
                            group,
                            micros(lane, "window_s", 0),
                            specifics.path("class_kind").path(i).asInt(-1)));
        }
        return classes;
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

    private static Guarantees guarantees(JsonNode figures) throws ConfigurationException {
        return new Guarantees(
                micros(figures, "grace_to_answer_s", 0),
                micros(figures, "drain_grace_s", 0),
                micros(figures, "ask_every_s", 10),
                number(figures, "cold_share", 1),
                micros(figures, "cold_s", 0),
                number(figures, "fall_multiple", 1),
                micros(figures, "fall_s", 1));
    }

    private static boolean listOnRequest(JsonNode mode) throws ConfigurationException {
        return switch (mode.asText("pushed")) {
            case "on_request" -> true;
            case "pushed" -> false;
            default -> throw new ConfigurationException("settings: registry_mode: " + mode);
        };
    }

    private static LoadReporting reporting(JsonNode conf) throws ConfigurationException {
        String how = conf.path("reporting").path("how").asText("silent");
        return switch (how) {
            case "piggyback" -> LoadReporting.WITH_RESPONSES;
            case "pull" -> LoadReporting.BY_PROBE;
            case "silent" -> LoadReporting.NONE;
            default -> throw new ConfigurationException("settings: reporting.how: " + how);
        };
    }

    private static int integer(JsonNode node, String name, int fallback)
            throws ConfigurationException {
        return (int) number(node, name, fallback);
    }

    private static long micros(JsonNode node, String name, double fallback)
            throws ConfigurationException {
        return Math.round(number(node, name, fallback) * 1e6);
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
