package damsonslip.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** Reads {@code 10.1.0.18:7070}; there are no names to look up. */
public final class Address {
    private static final Pattern HOST = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]");

    private Address() {}

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
