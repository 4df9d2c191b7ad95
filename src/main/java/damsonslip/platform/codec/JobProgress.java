package damsonslip.platform.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.config.ConfigurationTree;
import damsonslip.policy.api.LoadReport;

/**
 * A line of a worker's answer, decoded once.
 *
 * @param kind what it tells
 * @param result what the job gave, where done
 * @param report the worker's load, or null
 */
public record JobProgress(Kind kind, String result, LoadReport report) {
    public enum Kind {
        STARTED,
        RUNNING,
        DONE,
        FAILED,
        RETURNED,
        LOST
    }

    /** Reads a line about this job; null if it is none. */
    public static JobProgress read(String line, String id) {
        try {
            JsonNode node = ConfigurationTree.read(line);
            if (node == null || !id.equals(node.path("id").asText())) {
                return null;
            }
            Kind kind =
                    switch (node.path("state").asText("")) {
                        case "started" -> Kind.STARTED;
                        case "running" -> Kind.RUNNING;
                        case "done" -> node.path("result").isMissingNode() ? null : Kind.DONE;
                        case "failed" -> Kind.FAILED;
                        case "returned" -> Kind.RETURNED;
                        case "lost" -> Kind.LOST;
                        default -> null;
                    };
            JsonNode result = node.path("result");
            return kind == null
                    ? null
                    : new JobProgress(
                            kind,
                            result.isTextual() ? result.asText() : result.toString(),
                            report(node.path("load")));
        } catch (JsonProcessingException e) {
            return null;
        }
    }

    private static LoadReport report(JsonNode load) {
        return load.isObject()
                ? new LoadReport(
                        load.path("x0").asDouble(Double.NaN),
                        load.path("x1").asDouble(Double.NaN),
                        load.path("inflight").asDouble(Double.NaN),
                        Double.NaN,
                        load.path("eps").asDouble(Double.NaN))
                : null;
    }

    /** Reads a load header such as {@code TEXT util=0.61, x0=2}; null if there is none. */
    public static LoadReport report(String header) {
        if (header == null || !header.startsWith("TEXT")) {
            return null;
        }
        double free = Double.NaN;
        double memory = Double.NaN;
        double held = Double.NaN;
        double errors = Double.NaN;
        for (String part : header.substring(4).split(",")) {
            int at = part.indexOf('=');
            if (at < 0) {
                continue;
            }
            try {
                double value = Double.parseDouble(part.substring(at + 1).trim());
                switch (part.substring(0, at).trim()) {
                    case "x0" -> free = value;
                    case "x1" -> memory = value;
                    case "inflight" -> held = value;
                    case "eps" -> errors = value;
                    default -> {}
                }
            } catch (NumberFormatException e) {
                // a figure that is none is left out; the others still count
            }
        }
        return new LoadReport(free, memory, held, Double.NaN, errors);
    }
}
