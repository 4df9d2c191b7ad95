package damsonslip.simhost;

/** Input that cannot be acted on; the message is one line that says what is wrong. */
final class BadInput extends Exception {
    private static final long serialVersionUID = 1L;

    BadInput(String message) {
        super(message);
    }
}
