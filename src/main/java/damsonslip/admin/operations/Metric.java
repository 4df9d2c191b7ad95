package damsonslip.admin.operations;

/**
 * The value of a counter or gauge at one moment.
 *
 * @param name the metric's name; that of a metric by job class ends in a dot and the class
 * @param value its value
 * @param gauge whether it may go down; a counter only grows, from 0 at the start of the process
 */
public record Metric(String name, long value, boolean gauge) {
    static Metric counter(String name, long value) {
        return new Metric(name, value, false);
    }

    static Metric gauge(String name, long value) {
        return new Metric(name, value, true);
    }
}
