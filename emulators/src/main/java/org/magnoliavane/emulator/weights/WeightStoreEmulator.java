package org.magnoliavane.emulator.weights;

import java.io.IOException;
import java.util.Optional;

import org.magnoliavane.emulator.CommandOptions;
import org.magnoliavane.emulator.Emulator;
import org.magnoliavane.emulator.http.ByteStream;
import org.magnoliavane.emulator.http.EmulatorServer;
import org.magnoliavane.emulator.http.ErrorResponse;
import org.magnoliavane.emulator.http.Routes;
import org.magnoliavane.emulator.http.ServerExchange;
import org.magnoliavane.emulator.http.Timers;

/**
 * Emulates the weight store. Concurrent readers share its bandwidth evenly.
 *
 * <p>Thread-safe.
 */
public final class WeightStoreEmulator implements Emulator {
    private static final long TICK_MILLIS = 20;
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Timers timers = Timers.start("weight-store-emulator-timers");
    private final SharedBandwidth<ByteStream> bandwidth;
    private final long weightBytes;
    private final EmulatorServer server;
    private volatile boolean outage;

    private WeightStoreEmulator(WeightStoreOptions options) throws IOException {
        bandwidth = new SharedBandwidth<>(options.getBytesPerSecond());
        weightBytes = options.getBytes();
        Routes routes = new Routes()
                .add("GET", "/v1/weights/{model}/{version}", this::read)
                .add("POST", "/control", this::applyFaults);
        server = EmulatorServer.start("weight-store-emulator", options.getHost(), options.getPort(), routes);
        timers.scheduleAtFixedRate(TICK_MILLIS, this::writeShares);
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

    private synchronized void read(ServerExchange exchange) {
        if (outage) {
            exchange.sendError(
                    new ErrorResponse(SERVICE_UNAVAILABLE, "outage", "the weight store is down; retry later"));
            return;
        }
        bandwidth.add(exchange.startByteStream(weightBytes), weightBytes);
    }

    private synchronized void writeShares() {
        bandwidth.removeIf(ByteStream::isClosed);
        bandwidth.distribute(TICK_MILLIS).forEach(this::write);
    }

    private void write(ByteStream reader, long share) {
        reader.writeZeros(share);
        if (!bandwidth.hasRemaining(reader)) {
            reader.end();
        }
    }

    private void applyFaults(ServerExchange exchange) throws IOException {
        WeightFaults faults = exchange.parseBodyStrictly(WeightFaults.class);
        synchronized (this) {
            outage = Optional.ofNullable(faults.outage()).orElse(outage);
            Optional.ofNullable(faults.bytesPerSecond()).ifPresent(bandwidth::setPerSecond);
        }
        if (Boolean.TRUE.equals(faults.silent())) {
            exchange.makeOtherConnectionsUnresponsive();
        }
        exchange.send(OK, faults);
    }

    /** Body of {@code POST /control}; an absent value leaves the setting unchanged. */
    private record WeightFaults(Boolean outage, Long bytesPerSecond, Boolean silent) {}
}
