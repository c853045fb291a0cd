package org.magnoliavane.emulator;

import com.beust.jcommander.Parameter;

/**
 * Holds the options that all emulators share.
 *
 * <p>Not thread-safe; options are read once at startup.
 */
public class ServerOptions extends CommandOptions {
    @Parameter(names = "--host", description = "IP address to listen on")
    private String host = "127.0.0.1";

    @Parameter(names = "--port", description = "TCP port to listen on; 0 picks a free one")
    private int port;

    /**
     * Gets the address to listen on.
     *
     * @return the IP address
     */
    public final String getHost() {
        return host;
    }

    /**
     * Gets the port to listen on.
     *
     * @return the TCP port; 0 selects a free port
     */
    public final int getPort() {
        return port;
    }

    @Override
    protected void check() {
        checkRange("--port", port, 0, 65_535);
    }
}
