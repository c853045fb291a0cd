package org.magnoliavane.router.settings;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address and a TCP or UDP port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the IP address
 * @param port the port
 */
public record HostPort(String host, int port) {
    /** Describes the accepted text form in messages. */
    public static final String SYNTAX = "<IP address>:<port>, such as 192.0.2.7:7070";

    private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|[01]?[0-9]{1,2})";
    private static final Pattern PATTERN = Pattern.compile("(" + OCTET + "(?:\\." + OCTET + "){3}):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;

    /**
     * Parses the text form.
     *
     * @param text the text
     * @return the address; empty if the text does not have the accepted form
     */
    public static Optional<HostPort> parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        return port < 1 || port > MAX_PORT ? Optional.empty() : Optional.of(new HostPort(matcher.group(1), port));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
