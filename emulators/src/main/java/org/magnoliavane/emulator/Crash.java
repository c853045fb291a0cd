package org.magnoliavane.emulator;

/**
 * Ends an emulator as a crash would: no open call is answered.
 */
@FunctionalInterface
public interface Crash {
    /** Halts the process at once. */
    Crash HALT = () -> Runtime.getRuntime().halt(Crash.EXIT_STATUS);

    /** Exit status of a crashed process. */
    int EXIT_STATUS = 137;

    /** Time that the answer to the control call gets before a crash, in milliseconds. */
    long RESPONSE_GRACE_MILLIS = 20;

    /** Ends the emulator. */
    void crash();

    /**
     * Creates the crash of an emulator inside another process.
     *
     * @param close closes the emulator
     * @return the crash, which closes the emulator on a thread of its own
     */
    static Crash byClosing(Runnable close) {
        return () -> {
            Thread thread = new Thread(close, "emulator-crash");
            thread.setDaemon(true);
            thread.start();
        };
    }
}
