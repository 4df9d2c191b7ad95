package damsonslip.config;

/**
 * A file that could not be read just now: the system may give it later, where its content cannot be
 * used at all.
 */
public final class UnreadableFile extends BadInput {
    private static final long serialVersionUID = 1L;

    UnreadableFile(String message) {
        super(message);
    }
}
