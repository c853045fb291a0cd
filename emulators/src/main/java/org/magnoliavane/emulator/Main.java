package org.magnoliavane.emulator;

/**
 * Entry point of the emulators.
 */
public final class Main {
    private Main() {}

    /**
     * Runs the command that the arguments name.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        throw new UnsupportedOperationException("no command yet");
    }
}
