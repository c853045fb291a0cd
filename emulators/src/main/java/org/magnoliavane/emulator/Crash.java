package org.magnoliavane.emulator;

/**
 * Ends an emulator as a crash would: open requests get no response.
 */
@FunctionalInterface
public interface Crash {
    /** Halts the process at once. */
    Crash HALT = () -> Runtime.getRuntime().halt(Crash.EXIT_STATUS);

    /** Exit status of a crashed process. */
    int EXIT_STATUS = 137;

    /** Delay of a crash after the request for it, in milliseconds, so that its response can be sent. */
    long RESPONSE_GRACE_MILLIS = 20;

    /** Ends the emulator. */
    void crash();

    /**
     * Creates the crash of an emulator that shares its process with other code.
     *
     * @param close closes the emulator
     * @return a crash that closes the emulator on a separate thread
     */
    static Crash byClosing(Runnable close) {
        return () -> {
            Thread thread = new Thread(close, "emulator-crash");
            thread.setDaemon(true);
            thread.start();
        };
    }
}
