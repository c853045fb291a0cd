package org.magnoliavane.emulator;

/**
 * Runs one emulated outside system until it is closed.
 */
public interface Emulator extends AutoCloseable {

    /**
     * Gets the port that is bound.
     *
     * @return the TCP port
     */
    int getPort();

    @Override
    void close();
}
