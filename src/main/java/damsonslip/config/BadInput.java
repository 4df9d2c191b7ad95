package damsonslip.config;

/** Input that cannot be acted on; the message is one line that says what is wrong. */
public class BadInput extends Exception {
    private static final long serialVersionUID = 1L;

    public BadInput(String message) {
        super(message);
    }
}
