package org.magnoliavane.emulator.weights;

import com.beust.jcommander.Parameter;
import org.magnoliavane.emulator.ServerOptions;

/**
 * Options of the weight store emulator.
 *
 * <p>Not thread-safe; options are read once at startup.
 */
public final class WeightStoreOptions extends ServerOptions {
    @Parameter(names = "--bytes-per-second", description = "Bandwidth over all readers, in bytes per second")
    private long bytesPerSecond = 20_000_000;

    @Parameter(names = "--bytes", description = "Size of the weights of each model and version, in bytes")
    private long bytes = 20_000_000;

    long getBytesPerSecond() {
        return bytesPerSecond;
    }

    long getBytes() {
        return bytes;
    }

    @Override
    protected void check() {
        super.check();
        checkRange("--bytes-per-second", bytesPerSecond, 1, 1e12);
        checkRange("--bytes", bytes, 1, 1e12);
    }
}
