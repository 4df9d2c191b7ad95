package damsonslip.store;

/** A store operation failed; it may have taken effect nevertheless. */
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
