package damsonslip.tools.fleetreport;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a trace.
 *
 * @param atUs time of writing, in microseconds since midnight
 * @param kind its first word, the kind of event
 * @param subject the request, worker, class or pool concerned; empty if there is none
 * @param fields its {@code name=value} pairs
 */
public record TraceLine(long atUs, String kind, String subject, Map<String, String> fields) {
    /**
     * A log collector may have put its own timestamp in front. It is skipped, since only the
     * scheduler's timestamp has the same format in every log.
     */
    private static final Pattern FORMAT =
            Pattern.compile(
                    "(?:\\S+ )?(\\d\\d):(\\d\\d):(\\d\\d)\\.(\\d{3}) DEBUG Trace - (\\S+)(.*)");

    /** Parses a line of a log; returns null if it is not a trace line. */
    public static TraceLine of(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return null;
        }
        long secondsOfDay =
                (Long.parseLong(matcher.group(1)) * 60 + Long.parseLong(matcher.group(2))) * 60
                        + Long.parseLong(matcher.group(3));
        Map<String, String> fields = new HashMap<>();
        StringBuilder subject = new StringBuilder();
        for (String part : matcher.group(6).trim().split(" ", 0)) {
            int at = part.indexOf('=');
            if (at > 0) {
                fields.put(part.substring(0, at), part.substring(at + 1));
            } else if (!part.isEmpty()) {
                subject.append(subject.length() > 0 ? " " : "").append(part);
            }
        }
        long atUs = secondsOfDay * 1_000_000 + Long.parseLong(matcher.group(4)) * 1_000;
        return new TraceLine(atUs, matcher.group(5), subject.toString(), fields);
    }

    String text(String name) {
        return fields.getOrDefault(name, "");
    }

    /** Returns a field as a number, or 0 if it is missing or not a number. */
    double number(String name) {
        try {
            return Double.parseDouble(fields.getOrDefault(name, "0"));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
