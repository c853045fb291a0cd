package org.magnoliavane.emulator.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.magnoliavane.emulator.CommandOptions;
import org.magnoliavane.emulator.Emulator;
import org.magnoliavane.emulator.http.EmulatorServer;
import org.magnoliavane.emulator.http.ErrorResponse;
import org.magnoliavane.emulator.http.Routes;
import org.magnoliavane.emulator.http.ServerExchange;
import org.magnoliavane.emulator.http.Timers;

/**
 * Emulates the log service: append-only streams in memory with offsets, a limited append rate, retention by time, long
 * polling, and faults set by {@code POST /control}.
 *
 * <p>Thread-safe.
 */
public final class LogEmulator implements Emulator {
    private static final int MAX_RECORDS_PER_READ = 1000;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Map<String, RecordStream> streams = new HashMap<>();
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private final AppendRateLimiter rateLimiter;
    private final Timers timers = Timers.start("log-emulator-timers");
    private final EmulatorServer server;
    private long retainMillis;
    private long responseDelayMillis;
    private boolean outage;
    private boolean loseResponses;
    private int responsesToLose;
    private long lastTimestampMillis;
    private long appends;
    private long refusedByRate;
    private long lostResponses;
    private long reads;

    private LogEmulator(LogOptions options) throws IOException {
        rateLimiter = new AppendRateLimiter(options.getAppendsPerSecond(), getMonotonicMillis());
        retainMillis = options.getRetainMillis();
        Routes routes = new Routes()
                .add("POST", "/v1/streams/{stream}/records", this::append)
                .add("GET", "/v1/streams/{stream}/records", this::read)
                .add("POST", "/control", this::applyFaults)
                .add("GET", "/control/counters", exchange -> exchange.send(OK, getCounters()));
        server = EmulatorServer.start("log-emulator", options.getHost(), options.getPort(), routes);
    }

    /**
     * Starts the emulator.
     *
     * @param options the options
     * @return the emulator
     * @throws IOException when the address cannot be bound
     */
    public static LogEmulator start(LogOptions options) throws IOException {
        return new LogEmulator(options);
    }

    /**
     * Starts the emulator.
     *
     * @param arguments the options as on the command line
     * @return the emulator
     * @throws IOException when the address cannot be bound
     */
    public static LogEmulator start(String... arguments) throws IOException {
        return start(CommandOptions.parse(new LogOptions(), arguments));
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

    private void append(ServerExchange exchange) {
        String stream = exchange.getPathValue("stream");
        long delayMillis;
        Runnable response;
        List<PendingRead> readyReads;
        synchronized (this) {
            delayMillis = responseDelayMillis;
            response = applyAppend(stream, exchange);
            readyReads = removeReadyReads(stream);
        }
        readyReads.forEach(this::complete);
        timers.schedule(delayMillis, response);
    }

    private Runnable applyAppend(String stream, ServerExchange exchange) {
        if (outage) {
            return () -> exchange.sendError(createOutageError());
        }
        if (!rateLimiter.tryAcquire(getMonotonicMillis())) {
            refusedByRate++;
            String message = "append rate exceeded; retry after some milliseconds";
            return () -> exchange.sendError(new ErrorResponse(TOO_MANY_REQUESTS, "rate_limited", message));
        }
        lastTimestampMillis = Math.max(lastTimestampMillis, System.currentTimeMillis());
        long offset = streams.computeIfAbsent(stream, name -> new RecordStream())
                .append(exchange.getBody(), lastTimestampMillis);
        appends++;
        if (consumeLostResponse()) {
            return exchange::closeWithoutResponse;
        }
        return () -> exchange.send(CREATED, new LogResponses.Appended(offset));
    }

    private boolean consumeLostResponse() {
        if (!loseResponses && responsesToLose == 0) {
            return false;
        }
        responsesToLose = Math.max(0, responsesToLose - 1);
        lostResponses++;
        return true;
    }

    private void read(ServerExchange exchange) {
        PendingRead pendingRead =
                new PendingRead(exchange, exchange.getPathValue("stream"), exchange.getLongParameter("from", 0), (int)
                        Math.min(MAX_RECORDS_PER_READ, exchange.getLongParameter("limit", MAX_RECORDS_PER_READ)));
        long waitMillis = Math.min(MAX_WAIT_MILLIS, exchange.getLongParameter("wait_millis", 0));
        if (pendingRead.from < 0 || pendingRead.limit < 1) {
            throw new IllegalArgumentException("from must be at least 0 and limit at least 1");
        }
        synchronized (this) {
            reads++;
            if (waitMillis > 0 && isWaitingForRecords(pendingRead)) {
                pendingReads.add(pendingRead);
                timers.schedule(waitMillis, () -> completeIfPending(pendingRead));
                exchange.onClose(() -> removePendingRead(pendingRead));
                return;
            }
        }
        complete(pendingRead);
    }

    private boolean isWaitingForRecords(PendingRead pendingRead) {
        RecordStream stream = streams.get(pendingRead.stream);
        return !outage && (stream == null || pendingRead.from >= stream.getNextOffset());
    }

    private List<PendingRead> removeReadyReads(String stream) {
        List<PendingRead> readyReads = pendingReads.stream()
                .filter(pendingRead -> pendingRead.stream.equals(stream) && !isWaitingForRecords(pendingRead))
                .toList();
        pendingReads.removeAll(readyReads);
        return readyReads;
    }

    private void completeIfPending(PendingRead pendingRead) {
        if (removePendingRead(pendingRead)) {
            complete(pendingRead);
        }
    }

    private synchronized boolean removePendingRead(PendingRead pendingRead) {
        return pendingReads.remove(pendingRead);
    }

    private void complete(PendingRead pendingRead) {
        long delayMillis;
        Runnable response;
        synchronized (this) {
            delayMillis = responseDelayMillis;
            response = applyRead(pendingRead);
        }
        timers.schedule(delayMillis, response);
    }

    private Runnable applyRead(PendingRead pendingRead) {
        ServerExchange exchange = pendingRead.exchange;
        if (outage) {
            return () -> exchange.sendError(createOutageError());
        }
        RecordStream stream =
                Optional.ofNullable(streams.get(pendingRead.stream)).orElseGet(RecordStream::new);
        stream.removeBefore(System.currentTimeMillis() - retainMillis);
        long first = stream.getFirstOffset();
        if (pendingRead.from < first) {
            String message = "offset " + pendingRead.from + " has been removed; read from " + first;
            return () -> exchange.send(
                    GONE, new LogResponses.OffsetRemoved(new ErrorResponse.Detail("removed", message), first));
        }
        List<LogResponses.Entry> entries = stream.read(pendingRead.from, pendingRead.limit).stream()
                .map(LogResponses.Entry::of)
                .toList();
        LogResponses.Page page = new LogResponses.Page(first, stream.getNextOffset(), entries);
        return () -> exchange.send(OK, page);
    }

    private void applyFaults(ServerExchange exchange) throws IOException {
        LogFaults faults = exchange.parseBodyStrictly(LogFaults.class);
        List<PendingRead> abortedReads;
        synchronized (this) {
            outage = Optional.ofNullable(faults.outage()).orElse(outage);
            responseDelayMillis = Optional.ofNullable(faults.slowMillis()).orElse(responseDelayMillis);
            loseResponses = Optional.ofNullable(faults.loseAnswers()).orElse(loseResponses);
            responsesToLose = Optional.ofNullable(faults.loseNext()).orElse(responsesToLose);
            retainMillis = Optional.ofNullable(faults.retainMillis()).orElse(retainMillis);
            Optional.ofNullable(faults.appendsPerSecond()).ifPresent(rateLimiter::setPerSecond);
            abortedReads = outage ? List.copyOf(pendingReads) : List.of();
            pendingReads.removeAll(abortedReads);
        }
        abortedReads.forEach(this::complete);
        if (Boolean.TRUE.equals(faults.silent())) {
            exchange.makeOtherConnectionsUnresponsive();
        }
        exchange.send(OK, new LogResponses.Done(true));
    }

    private synchronized LogResponses.Counters getCounters() {
        return new LogResponses.Counters(appends, refusedByRate, lostResponses, reads);
    }

    private static ErrorResponse createOutageError() {
        return new ErrorResponse(SERVICE_UNAVAILABLE, "outage", "the log service is down; retry later");
    }

    private static long getMonotonicMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Read request that may wait for records. Reads are compared by identity. */
    private static final class PendingRead {
        private final ServerExchange exchange;
        private final String stream;
        private final long from;
        private final int limit;

        PendingRead(ServerExchange exchange, String stream, long from, int limit) {
            this.exchange = exchange;
            this.stream = stream;
            this.from = from;
            this.limit = limit;
        }
    }
}
