package org.magnoliavane.emulator.booking;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.magnoliavane.emulator.CommandOptions;
import org.magnoliavane.emulator.Crash;
import org.magnoliavane.emulator.Emulator;
import org.magnoliavane.emulator.http.EmulatorServer;
import org.magnoliavane.emulator.http.Routes;
import org.magnoliavane.emulator.http.ServerExchange;
import org.magnoliavane.emulator.http.Timers;

/**
 * Emulates the plain service. It counts in memory how often the requests of each {@code Idempotency-Key} were executed.
 *
 * <p>Thread-safe.
 */
public final class BookingEmulator implements Emulator {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final String NO_KEY = "";

    private final Map<String, Integer> runCounts = new ConcurrentHashMap<>();
    private final AtomicLong lastNumber = new AtomicLong();
    private final Timers timers = Timers.start("booking-emulator-timers");
    private final long workMillis;
    private final Crash crash;
    private final EmulatorServer server;
    private volatile Settings settings;

    private BookingEmulator(BookingOptions options, Optional<Crash> crash) throws IOException {
        this.crash = crash.orElse(Crash.byClosing(this::close));
        workMillis = options.getWorkMillis();
        settings = new Settings(0, false, 0, BookingFaults.NONE, options.getCrashMarker(), options.getCrashPhase());
        Routes routes = new Routes()
                .add("POST", "/bookings", exchange -> execute(exchange, "booking"))
                .add("POST", "/payments", exchange -> execute(exchange, "payment"))
                .add("POST", "/deliveries", exchange -> execute(exchange, "delivery"))
                .add("POST", "/volunteer-slots", exchange -> execute(exchange, "volunteer-slot"))
                .add("GET", "/schedule", exchange -> lookUp(exchange, new Schedule(List.of("09:00", "11:00", "14:00"))))
                .add("GET", "/rounds/today", exchange -> lookUp(exchange, new Status("open", lastNumber.get())))
                .add("GET", "/status", exchange -> lookUp(exchange, new Status("open", lastNumber.get())))
                .add("GET", "/control/runs", exchange -> exchange.send(OK, getRunCounts()))
                .add("POST", "/control", this::applyFaults);
        server = EmulatorServer.start("booking-emulator", options.getHost(), options.getPort(), routes);
    }

    /**
     * Starts the emulator in a dedicated process. The crash fault halts the process.
     *
     * @param options the options
     * @return the emulator
     * @throws IOException when the address cannot be bound
     */
    public static BookingEmulator start(BookingOptions options) throws IOException {
        return new BookingEmulator(options, Optional.of(Crash.HALT));
    }

    /**
     * Starts the emulator in a process that it shares with other code. The crash fault closes the emulator only.
     *
     * @param arguments the options as on the command line
     * @return the emulator
     * @throws IOException when the address cannot be bound
     */
    public static BookingEmulator start(String... arguments) throws IOException {
        return new BookingEmulator(CommandOptions.parse(new BookingOptions(), arguments), Optional.empty());
    }

    @Override
    public int getPort() {
        return server.getPort();
    }

    @Override
    public void close() {
        server.close();
        timers.close();
    }

    /**
     * Gets the number of executions of each key.
     *
     * @return the number of executions by key; requests without a key are counted under the empty key
     */
    public Map<String, Integer> getRunCounts() {
        return new TreeMap<>(runCounts);
    }

    private void execute(ServerExchange exchange, String kind) {
        Settings current = nextSettings();
        Optional<String> crashPhase = current.findCrashPhase(exchange.getBody());
        if (crashPhase.filter(BookingFaults.BEFORE::equals).isPresent()) {
            crash.crash();
            return;
        }
        String key = exchange.findHeader("Idempotency-Key").orElse(NO_KEY);
        int count = runCounts.merge(key, 1, Integer::sum);
        String id = kind + "-" + lastNumber.incrementAndGet();
        if (crashPhase.isPresent()) {
            crash.crash();
            return;
        }
        sendDelayed(exchange, current, CREATED, new Receipt(id, kind, key, count));
    }

    private void lookUp(ServerExchange exchange, Object response) {
        sendDelayed(exchange, nextSettings(), OK, response);
    }

    private void sendDelayed(ServerExchange exchange, Settings current, int status, Object response) {
        Runnable end =
                current.isResponseDropped() ? exchange::closeWithoutResponse : () -> exchange.send(status, response);
        timers.schedule(workMillis + current.delayMillis, end);
    }

    /**
     * Gets the settings for the next request and decrements the counters of faults that are limited to a number of
     * requests.
     */
    private synchronized Settings nextSettings() {
        Settings current = settings;
        settings = current.withDropNext(Math.max(0, current.dropNext - 1));
        return current;
    }

    private void applyFaults(ServerExchange exchange) throws IOException {
        BookingFaults faults = exchange.parseBodyStrictly(BookingFaults.class);
        synchronized (this) {
            settings = settings.with(faults);
        }
        if (Boolean.TRUE.equals(faults.silent())) {
            exchange.makeOtherConnectionsUnresponsive();
        }
        exchange.send(OK, faults);
        if (Boolean.TRUE.equals(faults.crash())) {
            timers.schedule(Crash.RESPONSE_GRACE_MILLIS, crash::crash);
        }
    }

    private record Receipt(String id, String kind, String key, int runs) {}

    private record Schedule(List<String> slots) {}

    private record Status(String state, long runs) {}

    /** Holds the faults in force. */
    private record Settings(
            long delayMillis,
            boolean dropAnswers,
            int dropNext,
            String crashNext,
            String crashMarker,
            String crashPhase) {

        boolean isResponseDropped() {
            return dropAnswers || dropNext > 0;
        }

        Optional<String> findCrashPhase(byte[] body) {
            if (!crashNext.equals(BookingFaults.NONE)) {
                return Optional.of(crashNext);
            }
            boolean marked = crashMarker != null
                    && !crashMarker.isEmpty()
                    && new String(body, java.nio.charset.StandardCharsets.UTF_8).contains(crashMarker);
            return marked ? Optional.of(crashPhase) : Optional.empty();
        }

        Settings withDropNext(int next) {
            return new Settings(delayMillis, dropAnswers, next, crashNext, crashMarker, crashPhase);
        }

        Settings with(BookingFaults faults) {
            return new Settings(
                    Optional.ofNullable(faults.delayMillis()).orElse(delayMillis),
                    Optional.ofNullable(faults.dropAnswers()).orElse(dropAnswers),
                    Optional.ofNullable(faults.dropNext()).orElse(dropNext),
                    Optional.ofNullable(faults.crashNext()).orElse(crashNext),
                    Optional.ofNullable(faults.crashMarker()).orElse(crashMarker),
                    Optional.ofNullable(faults.crashPhase()).orElse(crashPhase));
        }
    }
}
