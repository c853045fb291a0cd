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
 * Runs the booking emulators inside the test, on the ports of the deployment's plain workers. In this way the counts of
 * an emulator outlive its crash.
 *
 * <p>Thread-safe.
 */
final class BookingServices implements AutoCloseable {
    private static final int BIND_TRIES = 50;
    private static final long BIND_PAUSE_MILLIS = 20;

    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final Map<String, BookingEmulator> current = new HashMap<>();
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

    /** Ends an emulator, when it has not crashed yet, and starts one without faults on its port. */
    synchronized void restart(String id) throws IOException {
        BookingEmulator last = current.remove(id);
        if (last != null) {
            last.close();
        }
        BookingEmulator next = bind(ports.get(id));
        current.put(id, next);
        all.add(next);
    }

    /** Ends all emulators; their ports refuse connections until they are restarted. */
    synchronized void stopAll() {
        current.values().forEach(BookingEmulator::close);
        current.clear();
    }

    /** Adds up the runs of each key over all emulators, also those that have crashed. */
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
        for (int i = 1; i < BIND_TRIES; i++) {
            try {
                return BookingEmulator.start("--port", Integer.toString(port));
            } catch (IOException e) {
                Pauses.sleep(BIND_PAUSE_MILLIS);
            }
        }
        return BookingEmulator.start("--port", Integer.toString(port));
    }
}
