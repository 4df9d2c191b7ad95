package damsonslip.admin.operations;

/**
 * The value of a counter or gauge at one moment.
 *
 * @param name the metric's name, followed by a full stop and the job class where it is kept by
 *     class
 * @param value its value
 * @param gauge whether it goes up and down; a counter only grows from the start of the process
 */
public record Metric(String name, long value, boolean gauge) {
    static Metric counter(String name, long value) {
        return new Metric(name, value, false);
    }

    static Metric gauge(String name, long value) {
        return new Metric(name, value, true);
    }
}
