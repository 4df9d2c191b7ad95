package damsonslip.platform.codec;

import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.policy.api.LoadReport;

/** Decodes a worker's load report from a response header or from a line of a job's progress. */
final class LoadReportDecoder {
    private LoadReportDecoder() {}

    /** Decodes the JSON form; null if it is not an object. */
    static LoadReport fromJson(JsonNode report) {
        if (!report.isObject()) {
            return null;
        }
        return new LoadReport(
                number(report, WireNames.Load.FREE_SLOTS),
                number(report, WireNames.Load.FREE_MEMORY),
                number(report, WireNames.Load.RESERVED_MEMORY),
                Double.NaN,
                number(report, WireNames.Load.ERRORS_PER_SECOND));
    }

    private static double number(JsonNode report, String name) {
        return report.path(name).asDouble(Double.NaN);
    }

    /** Decodes a header such as {@code TEXT util=0.61, x0=2}; null if it has another form. */
    static LoadReport fromHeader(String header) {
        if (header == null || !header.startsWith(WireNames.Load.TEXT_FORMAT)) {
            return null;
        }
        double freeSlots = Double.NaN;
        double freeMemory = Double.NaN;
        double reservedMemory = Double.NaN;
        double errorsPerSecond = Double.NaN;
        String entries = header.substring(WireNames.Load.TEXT_FORMAT.length());
        for (String entry : entries.split(",", -1)) {
            int separator = entry.indexOf('=');
            if (separator < 0) {
                continue;
            }
            try {
                double value = Double.parseDouble(entry.substring(separator + 1).trim());
                switch (entry.substring(0, separator).trim()) {
                    case WireNames.Load.FREE_SLOTS -> freeSlots = value;
                    case WireNames.Load.FREE_MEMORY -> freeMemory = value;
                    case WireNames.Load.RESERVED_MEMORY -> reservedMemory = value;
                    case WireNames.Load.ERRORS_PER_SECOND -> errorsPerSecond = value;
                    default -> {}
                }
            } catch (NumberFormatException e) {
                // a value that is not a number is skipped; the others are used
            }
        }
        return new LoadReport(freeSlots, freeMemory, reservedMemory, Double.NaN, errorsPerSecond);
    }
}
