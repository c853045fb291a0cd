package org.magnoliavane.emulator.booking;

import com.beust.jcommander.Parameter;
import org.magnoliavane.emulator.ServerOptions;

/**
 * Options of the booking service emulator.
 *
 * <p>Not thread-safe; options are read once at startup.
 */
public final class BookingOptions extends ServerOptions {
    @Parameter(
            names = "--work-millis",
            description = "Time from the execution of a request to its response, in milliseconds")
    private long workMillis = 5;

    @Parameter(names = "--crash-marker", description = "Text in a request body that crashes the service")
    private String crashMarker;

    @Parameter(
            names = "--crash-phase",
            description = "When the marker crashes the service: before or after the execution")
    private String crashPhase = "before";

    long getWorkMillis() {
        return workMillis;
    }

    String getCrashMarker() {
        return crashMarker;
    }

    String getCrashPhase() {
        return crashPhase;
    }

    @Override
    protected void check() {
        super.check();
        checkRange("--work-millis", workMillis, 0, 3_600_000);
        BookingFaults.checkPhase("--crash-phase", crashPhase);
    }
}
