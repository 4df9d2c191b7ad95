package damsonslip.platform.codec;

/** An endpoint list that cannot be decoded; the message is one line for the operators. */
public final class MalformedListException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedListException(String message) {
        super(message);
    }
}
