package damsonslip.config;

/**
 * A file that could not be read just now: the system may give it later, where its content cannot be
 * used at all.
 */
public final class UnreadableConfigurationException extends ConfigurationException {
    private static final long serialVersionUID = 1L;

    UnreadableConfigurationException(String message) {
        super(message);
    }
}
