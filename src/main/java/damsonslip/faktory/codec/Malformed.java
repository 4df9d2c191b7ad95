package damsonslip.faktory.codec;

/** A line or a job that cannot be acted on; the message is one line that says what is wrong. */
public final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    public Malformed(String message) {
        super(message);
    }
}
