package damsonslip.store;

/** The store did not do what it was asked; whether it took effect is not known. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
