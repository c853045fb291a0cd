package org.magnoliavane.emulator.weights;

import com.beust.jcommander.Parameter;
import org.magnoliavane.emulator.ServerOptions;

/**
 * Options of the weight store emulator.
 */
public final class WeightStoreOptions extends ServerOptions {
    @Parameter(names = "--bytes-per-second", description = "Rate over all readers")
    private long bytesPerSecond = 20_000_000;

    @Parameter(names = "--bytes", description = "Size of the weights of each model and version")
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
