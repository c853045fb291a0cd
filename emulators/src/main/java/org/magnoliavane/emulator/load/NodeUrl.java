package org.magnoliavane.emulator.load;

import java.net.URI;

import com.beust.jcommander.ParameterException;

/** Holds the host and the port of the URL of a node. */
record NodeUrl(String host, int port) {

    static NodeUrl parse(String url) {
        try {
            URI uri = URI.create(url);
            if ("http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0) {
                return new NodeUrl(uri.getHost(), uri.getPort());
            }
        } catch (IllegalArgumentException e) {
            throw new ParameterException("node URL is malformed: " + e.getMessage(), e);
        }
        throw new ParameterException("node URL must be http://HOST:PORT, got " + url);
    }
}
