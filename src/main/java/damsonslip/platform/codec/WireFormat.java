package damsonslip.platform.codec;

import java.time.Duration;
import java.util.regex.Pattern;

/** The names of the platform's header fields, and the forms of their values. */
public final class WireFormat {
    public static final String ID = "X-Correlation-Id";
    public static final String CLASS = "X-Service-Class";
    public static final String TENANT = "X-Account";
    public static final String TIME_LEFT = "X-Time-Left";
    public static final String FACTS = "X-Facts";
    public static final String KEY = "Idempotency-Key";
    public static final String LOAD = "X-Backend-Load";
    public static final String NOT_RUN = "X-Unprocessed";
    public static final int MOST_BODY = 64 * 1024;
    public static final int MOST_HEADERS = 8 * 1024;

    private static final long MOST_US = Duration.ofDays(1).toNanos() / 1000;

    private static final Pattern FIGURE = Pattern.compile("[0-9]{1,20}(\\.[0-9]{1,20})?");

    private WireFormat() {}

    /**
     * Reads {@code 480m} or {@code 480000u} as microseconds; no number or no known unit is an
     * error.
     */
    public static long micros(String text) {
        int end = text.length() - 1;
        long unit =
                end < 1
                        ? 0
                        : switch (text.charAt(end)) {
                            case 'm' -> 1000;
                            case 'u' -> 1;
                            default -> 0;
                        };
        if (unit == 0) {
            throw new IllegalArgumentException("not a time: " + text);
        }
        return Math.round(figure(text.substring(0, end), MOST_US / unit) * unit);
    }

    /**
     * Reads a plain decimal number; Java's own reader would take {@code 5d}, {@code 0x1p4} and
     * {@code NaN} as well.
     */
    public static double figure(String text, long most) {
        double number = FIGURE.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
        if (!(number >= 0 && number <= most)) {
            throw new IllegalArgumentException(text);
        }
        return number;
    }

    public static String text(long micros) {
        return Math.max(0, micros) + "u";
    }
}
