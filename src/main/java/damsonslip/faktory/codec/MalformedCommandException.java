package damsonslip.faktory.codec;

/** A line or a job that cannot be acted on; the message is one line that says what is wrong. */
public final class MalformedCommandException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedCommandException(String message) {
        super(message);
    }
}
