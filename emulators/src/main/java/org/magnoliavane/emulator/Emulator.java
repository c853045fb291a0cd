package org.magnoliavane.emulator;

/**
 * Runs an emulated external system until it is closed.
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
