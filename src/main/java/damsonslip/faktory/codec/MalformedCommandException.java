package damsonslip.faktory.codec;

/** A command or a pushed job is not valid; the message says in one line what is wrong with it. */
public final class MalformedCommandException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message of one line. */
    public MalformedCommandException(String message) {
        super(message);
    }
}
