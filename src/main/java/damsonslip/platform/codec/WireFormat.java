package damsonslip.platform.codec;

import java.time.Duration;
import java.util.regex.Pattern;

/** The protocol's size limits and the forms of its numbers and times. */
public final class WireFormat {
    /** The largest body of a message, in bytes. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /** The largest head of a message, in bytes. */
    public static final int MAX_HEADER_BYTES = 8 * 1024;

    private static final long MAX_TIME_US = Duration.ofDays(1).toNanos() / 1000;

    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,20}(\\.[0-9]{1,20})?");

    private WireFormat() {}

    /**
     * Parses a time such as {@code 480m} (milliseconds) or {@code 480000u} (microseconds).
     *
     * @return the time in microseconds
     * @throws IllegalArgumentException if it is not a number, has no known unit or exceeds one day
     */
    static long parseMicros(String text) {
        int end = text.length() - 1;
        long unitUs = end < 1 ? 0 : unitMicros(text.charAt(end));
        if (unitUs == 0) {
            throw new IllegalArgumentException("not a time: " + text);
        }
        return Math.round(parseDecimal(text.substring(0, end), MAX_TIME_US / unitUs) * unitUs);
    }

    private static long unitMicros(char unit) {
        return switch (unit) {
            case 'm' -> 1000;
            case 'u' -> 1;
            default -> 0;
        };
    }

    /**
     * Parses a plain decimal number. {@link Double#parseDouble} alone would also accept {@code 5d},
     * {@code 0x1p4} and {@code NaN}.
     *
     * @throws IllegalArgumentException if it is not such a number or exceeds the maximum
     */
    static double parseDecimal(String text, long max) {
        double number = DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
        if (!(number >= 0 && number <= max)) {
            throw new IllegalArgumentException(text);
        }
        return number;
    }

    /** Formats a time with the unit of microseconds; a negative one as zero. */
    static String formatMicros(long micros) {
        return Math.max(0, micros) + "u";
    }
}
