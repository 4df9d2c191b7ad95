package damsonslip.config;

/** A configuration or input that cannot be used; the message describes the error in one line. */
public class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message of one line. */
    public ConfigurationException(String message) {
        super(message);
    }
}
