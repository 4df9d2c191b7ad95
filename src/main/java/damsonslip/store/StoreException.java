package damsonslip.store;

/** The store did not carry out an operation; whether it took effect is not known. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what went wrong, in one line
     * @param cause the underlying failure, or null
     */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
