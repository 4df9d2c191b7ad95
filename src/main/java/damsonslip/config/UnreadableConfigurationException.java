package damsonslip.config;

/**
 * A configuration file that could not be read. Unlike one with wrong content it may be readable
 * later, so reading it is worth a retry.
 */
public final class UnreadableConfigurationException extends ConfigurationException {
    private static final long serialVersionUID = 1L;

    UnreadableConfigurationException(String message) {
        super(message);
    }
}
