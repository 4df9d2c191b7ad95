package damsonslip.platform;

import damsonslip.config.ConfigurationException;
import damsonslip.transport.Address;
import java.net.InetSocketAddress;

/** Reads the addresses in the configuration. */
final class ConfiguredAddress {
    private ConfiguredAddress() {}

    /**
     * Reads an address.
     *
     * @param name of the setting, for the message
     * @throws ConfigurationException if the text is no address
     */
    static InetSocketAddress parse(String name, String text) throws ConfigurationException {
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("config: " + name + ": " + e.getMessage());
        }
    }
}
