package damsonslip.faktory.codec;

/** A command or a pushed job is not valid; the message gives the reason in one line. */
public final class MalformedCommandException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; the message must be a single line. */
    public MalformedCommandException(String message) {
        super(message);
    }
}
