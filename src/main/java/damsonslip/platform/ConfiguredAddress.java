package damsonslip.platform;

import damsonslip.config.ConfigurationException;
import damsonslip.transport.Address;
import java.net.InetSocketAddress;

/** Parses the addresses in the configuration. */
final class ConfiguredAddress {
    private ConfiguredAddress() {}

    /**
     * Parses an address.
     *
     * @param name the name of the setting, for the error message
     * @throws ConfigurationException if the text is not an address
     */
    static InetSocketAddress parse(String name, String text) throws ConfigurationException {
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("config: " + name + ": " + e.getMessage());
        }
    }
}
