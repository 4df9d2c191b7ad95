package damsonslip.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** Parses socket addresses such as {@code 10.1.0.18:7070}; host names are not accepted. */
public final class Address {
    private static final Pattern HOST = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]");

    private Address() {}

    /**
     * Parses an IPv4 or bracketed IPv6 address with a port.
     *
     * @throws IllegalArgumentException if the text is anything else
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        try {
            if (!HOST.matcher(host).matches()) {
                throw new IllegalArgumentException("not an address: " + text);
            }
            return new InetSocketAddress(
                    InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException("not an address: " + text, e);
        }
    }
}
