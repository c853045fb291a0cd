package org.magnoliavane.emulator.vm;

import com.beust.jcommander.Parameter;
import org.magnoliavane.emulator.ServerOptions;

/**
 * Options of the VM list emulator.
 *
 * <p>Not thread-safe; options are read once at startup.
 */
public final class VmListOptions extends ServerOptions {
    @Parameter(
            names = "--vms",
            description = "File with the initial list, {\"vms\":[...]}; without it, the list is empty")
    private String file;

    @Parameter(names = "--lag-millis", description = "Time after which a change is published, in milliseconds")
    private long lagMillis = 500;

    String getFile() {
        return file;
    }

    long getLagMillis() {
        return lagMillis;
    }

    @Override
    protected void check() {
        super.check();
        checkRange("--lag-millis", lagMillis, 0, 3_600_000);
    }
}
