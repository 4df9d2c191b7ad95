package damsonslip.config;

/** Input that cannot be acted on; the message is one line that says what is wrong. */
public class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    public ConfigurationException(String message) {
        super(message);
    }
}
