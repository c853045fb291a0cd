package org.magnoliavane.emulator.log;

import com.beust.jcommander.Parameter;
import org.magnoliavane.emulator.ServerOptions;

/**
 * Options of the log service emulator.
 *
 * <p>Not thread-safe; options are read once at startup.
 */
public final class LogOptions extends ServerOptions {
    @Parameter(
            names = "--appends-per-second",
            description = "Maximum appends per second over all streams; others fail with status 429")
    private int appendsPerSecond = 500;

    @Parameter(names = "--retain-millis", description = "Time for which records are kept, in milliseconds")
    private long retainMillis = 3_600_000;

    int getAppendsPerSecond() {
        return appendsPerSecond;
    }

    long getRetainMillis() {
        return retainMillis;
    }

    @Override
    protected void check() {
        super.check();
        checkRange("--appends-per-second", appendsPerSecond, 1, 1_000_000);
        checkRange("--retain-millis", retainMillis, 1, Long.MAX_VALUE);
    }
}
