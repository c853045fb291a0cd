package org.magnoliavane.emulator.weights;

import java.io.IOException;
import java.util.Optional;

import org.magnoliavane.emulator.CommandOptions;
import org.magnoliavane.emulator.Emulator;
import org.magnoliavane.emulator.http.ByteStream;
import org.magnoliavane.emulator.http.Call;
import org.magnoliavane.emulator.http.EmulatorServer;
import org.magnoliavane.emulator.http.Refusal;
import org.magnoliavane.emulator.http.Routes;
import org.magnoliavane.emulator.http.Timers;

/**
 * Emulates the weight store. Its readers share one rate evenly.
 *
 * <p>Thread-safe.
 */
public final class WeightStoreEmulator implements Emulator {
    private static final long TICK_MILLIS = 20;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final Timers timers = Timers.start("weight-store-emulator-timers");
    private final SharedRate<ByteStream> readers;
    private final long bytes;
    private final EmulatorServer server;
    private volatile boolean outage;

    private WeightStoreEmulator(WeightStoreOptions options) throws IOException {
        readers = new SharedRate<>(options.getBytesPerSecond());
        bytes = options.getBytes();
        Routes routes = new Routes()
                .on("GET", "/v1/weights/{model}/{version}", this::read)
                .on("POST", "/control", this::control);
        server = EmulatorServer.start("weight-store-emulator", options.getHost(), options.getPort(), routes);
        timers.every(TICK_MILLIS, this::tick);
    }

    /**
     * Starts the emulator.
     *
     * @param options the options
     * @return the emulator
     * @throws IOException when the address cannot be bound
     */
    public static WeightStoreEmulator start(WeightStoreOptions options) throws IOException {
        return new WeightStoreEmulator(options);
    }

    /**
     * Starts the emulator.
     *
     * @param arguments the options as on the command line
     * @return the emulator
     * @throws IOException when the address cannot be bound
     */
    public static WeightStoreEmulator start(String... arguments) throws IOException {
        return start(CommandOptions.parse(new WeightStoreOptions(), arguments));
    }

    @Override
    public int getPort() {
        return server.getPort();
    }

    @Override
    public void close() {
        timers.close();
        server.close();
    }

    private synchronized void read(Call call) {
        if (outage) {
            call.refuse(new Refusal(UNAVAILABLE, "outage", "the weight store is down; repeat later"));
            return;
        }
        readers.add(call.startBytes(bytes), bytes);
    }

    private synchronized void tick() {
        readers.removeIf(ByteStream::isClosed);
        readers.share(TICK_MILLIS).forEach(this::write);
    }

    private void write(ByteStream reader, long share) {
        reader.write(share);
        if (!readers.isWaiting(reader)) {
            reader.end();
        }
    }

    private void control(Call call) throws IOException {
        WeightFaults faults = call.parseStrictly(WeightFaults.class);
        synchronized (this) {
            outage = Optional.ofNullable(faults.outage()).orElse(outage);
            Optional.ofNullable(faults.bytesPerSecond()).ifPresent(readers::setPerSecond);
        }
        if (Boolean.TRUE.equals(faults.silent())) {
            call.silenceOtherConnections();
        }
        call.answer(OK, faults);
    }

    /** Body of {@code POST /control}; an absent value leaves the setting as it is. */
    private record WeightFaults(Boolean outage, Long bytesPerSecond, Boolean silent) {}
}
