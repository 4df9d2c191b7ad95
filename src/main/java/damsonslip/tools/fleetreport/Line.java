package damsonslip.tools.fleetreport;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a trace.
 *
 * @param atUs when it was written, from midnight
 * @param word what it tells of
 * @param what of whom: a query, a worker, a pool; empty if of nobody
 * @param fields its {@code name=value} pairs
 */
public record Line(long atUs, String word, String what, Map<String, String> fields) {
    /**
     * A reader may have put its own clock in front; the program's is the one that is the same
     * everywhere.
     */
    private static final Pattern FORM =
            Pattern.compile(
                    "(?:\\S+ )?(\\d\\d):(\\d\\d):(\\d\\d)\\.(\\d{3}) DEBUG Trace - (\\S+)(.*)");

    /** Decodes a line; null if it is not a trace's. */
    public static Line of(String text) {
        Matcher line = FORM.matcher(text);
        if (!line.matches()) {
            return null;
        }
        long seconds =
                (Long.parseLong(line.group(1)) * 60 + Long.parseLong(line.group(2))) * 60
                        + Long.parseLong(line.group(3));
        Map<String, String> fields = new HashMap<>();
        StringBuilder what = new StringBuilder();
        for (String part : line.group(6).trim().split(" ", 0)) {
            int at = part.indexOf('=');
            if (at > 0) {
                fields.put(part.substring(0, at), part.substring(at + 1));
            } else if (!part.isEmpty()) {
                what.append(what.length() > 0 ? " " : "").append(part);
            }
        }
        long atUs = seconds * 1_000_000 + Long.parseLong(line.group(4)) * 1_000;
        return new Line(atUs, line.group(5), what.toString(), fields);
    }

    String text(String name) {
        return fields.getOrDefault(name, "");
    }

    /** A figure; nought if it is missing or is none. */
    double number(String name) {
        try {
            return Double.parseDouble(fields.getOrDefault(name, "0"));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
