package org.magnoliavane.node.settings;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Identifies an HTTP server by IP address and port.
 *
 * <p>Immutable and thread-safe. Its string form is {@code http://<IP address>:<port>}, with brackets around an IPv6
 * address.
 *
 * @param host the IP address, without brackets
 * @param port the TCP port
 */
public record HttpEndpoint(String host, int port) {

    /** Description of the accepted string form, for messages. */
    public static final String FORMAT = "http://<IP address>:<port>, such as http://192.0.2.7:7070";

    private static final Pattern URL = Pattern.compile("http://([0-9.]+|\\[[0-9A-Fa-f:.]+])(?::([0-9]{1,5}))?/?");
    private static final Pattern IPV4 = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}");
    private static final Pattern IPV6 = Pattern.compile("[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*");
    private static final int DEFAULT_PORT = 80;
    private static final int MAX_PORT = 65_535;

    /**
     * Parses the string form. The port defaults to 80.
     *
     * @param text the text
     * @return the endpoint, or empty if the text is malformed or contains a host name
     */
    public static Optional<HttpEndpoint> parse(String text) {
        Matcher matcher = URL.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        String host = matcher.group(1).replace("[", "").replace("]", "");
        int port = matcher.group(2) == null ? DEFAULT_PORT : Integer.parseInt(matcher.group(2));
        if (port < 1 || port > MAX_PORT || !isAddress(host)) {
            return Optional.empty();
        }
        return Optional.of(new HttpEndpoint(host, port));
    }

    /**
     * Returns whether a text is the IP address of one host. Host names are not resolved.
     *
     * @param text the text
     * @return true for an IPv4 or IPv6 address other than the wildcard address
     */
    static boolean isAddress(String text) {
        if (!IPV4.matcher(text).matches() && !IPV6.matcher(text).matches()) {
            return false;
        }
        try {
            // Both patterns exclude host names, so that this call never queries a name server.
            return !InetAddress.getByName(text).isAnyLocalAddress();
        } catch (UnknownHostException e) {
            return false;
        }
    }

    @Override
    public String toString() {
        return "http://" + (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + port;
    }
}
