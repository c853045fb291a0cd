package org.magnoliavane.systemtest.bookings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.magnoliavane.emulator.booking.BookingEmulator;
import org.magnoliavane.systemtest.LocalDeployment;

/**
 * Runs the booking emulators in the process of the test, on the ports of the deployment's plain workers, so that the
 * run counts of an emulator are kept when it crashes.
 *
 * <p>Thread-safe.
 */
final class BookingServices implements AutoCloseable {
    private static final int MAX_BIND_ATTEMPTS = 50;
    private static final long BIND_RETRY_MILLIS = 20;

    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final Map<String, BookingEmulator> running = new HashMap<>();
    private final List<BookingEmulator> all = new ArrayList<>();

    private BookingServices() {}

    static BookingServices replaceProcesses(LocalDeployment deployment) throws IOException {
        BookingServices services = new BookingServices();
        for (String id : deployment.getWorkers("plain")) {
            deployment.getProcess(id).kill();
            services.ports.put(id, deployment.getEndpoint(id).getPort());
            services.restart(id);
        }
        return services;
    }

    synchronized List<String> getIds() {
        return List.copyOf(ports.keySet());
    }

    /** Stops an emulator unless it has crashed, and starts one without faults on its port. */
    synchronized void restart(String id) throws IOException {
        BookingEmulator previous = running.remove(id);
        if (previous != null) {
            previous.close();
        }
        BookingEmulator next = bind(ports.get(id));
        running.put(id, next);
        all.add(next);
    }

    /** Stops all emulators. Their ports refuse connections until they are restarted. */
    synchronized void stopAll() {
        running.values().forEach(BookingEmulator::close);
        running.clear();
    }

    /** Gets the number of runs of each key over all emulators, including crashed ones. */
    synchronized Map<String, Integer> getRuns() {
        Map<String, Integer> sum = new HashMap<>();
        all.forEach(e -> e.getRunCounts().forEach((key, count) -> sum.merge(key, count, Integer::sum)));
        return sum;
    }

    @Override
    public void close() {
        stopAll();
    }

    private static BookingEmulator bind(int port) throws IOException {
        for (int i = 1; i < MAX_BIND_ATTEMPTS; i++) {
            try {
                return BookingEmulator.start("--port", Integer.toString(port));
            } catch (IOException e) {
                Sleeps.sleep(BIND_RETRY_MILLIS);
            }
        }
        return BookingEmulator.start("--port", Integer.toString(port));
    }
}
