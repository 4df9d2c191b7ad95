package damsonslip.operations;

/**
 * One figure at one moment.
 *
 * @param name   what is counted, with the class behind a full stop where it is counted by class
 * @param value  the figure
 * @param gauge  whether it goes up and down; else it only grows from the start of the process
 */
public record Figure(String name, long value, boolean gauge) {
    static Figure count(String name, long value) {
        return new Figure(name, value, false);
    }

    static Figure gauge(String name, long value) {
        return new Figure(name, value, true);
    }
}
