package damsonslip.config;

/**
 * A configuration file that could not be read. Unlike wrong content, this may be temporary, so
 * callers may retry.
 */
public final class UnreadableConfigurationException extends ConfigurationException {
    private static final long serialVersionUID = 1L;

    UnreadableConfigurationException(String message) {
        super(message);
    }
}
