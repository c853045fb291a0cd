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
 * polls, and faults by {@code POST /control}.
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
                .add("GET", "/control/counters", call -> call.send(OK, getCounters()));
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

    private void append(ServerExchange call) {
        String stream = call.getPathValue("stream");
        long delay;
        Runnable answer;
        List<PendingRead> ready;
        synchronized (this) {
            delay = responseDelayMillis;
            answer = applyAppend(stream, call);
            ready = removeReadyReads(stream);
        }
        ready.forEach(this::complete);
        timers.schedule(delay, answer);
    }

    private Runnable applyAppend(String stream, ServerExchange call) {
        if (outage) {
            return () -> call.sendError(createOutageError());
        }
        if (!rateLimiter.tryAcquire(getMonotonicMillis())) {
            refusedByRate++;
            String message = "append rate exceeded; repeat after some milliseconds";
            return () -> call.sendError(new ErrorResponse(TOO_MANY_REQUESTS, "rate_limited", message));
        }
        lastTimestampMillis = Math.max(lastTimestampMillis, System.currentTimeMillis());
        long offset =
                streams.computeIfAbsent(stream, name -> new RecordStream()).append(call.getBody(), lastTimestampMillis);
        appends++;
        if (consumeLostResponse()) {
            return call::closeWithoutResponse;
        }
        return () -> call.send(CREATED, new LogResponses.Appended(offset));
    }

    private boolean consumeLostResponse() {
        if (!loseResponses && responsesToLose == 0) {
            return false;
        }
        responsesToLose = Math.max(0, responsesToLose - 1);
        lostResponses++;
        return true;
    }

    private void read(ServerExchange call) {
        PendingRead waiter = new PendingRead(call, call.getPathValue("stream"), call.getLongParameter("from", 0), (int)
                Math.min(MAX_RECORDS_PER_READ, call.getLongParameter("limit", MAX_RECORDS_PER_READ)));
        long wait = Math.min(MAX_WAIT_MILLIS, call.getLongParameter("wait_millis", 0));
        if (waiter.from < 0 || waiter.limit < 1) {
            throw new IllegalArgumentException("from must be at least 0 and limit at least 1");
        }
        synchronized (this) {
            reads++;
            if (wait > 0 && isWaitingForRecords(waiter)) {
                pendingReads.add(waiter);
                timers.schedule(wait, () -> completeIfPending(waiter));
                call.onClose(() -> removePendingRead(waiter));
                return;
            }
        }
        complete(waiter);
    }

    private boolean isWaitingForRecords(PendingRead waiter) {
        RecordStream stream = streams.get(waiter.stream);
        return !outage && (stream == null || waiter.from >= stream.getNextOffset());
    }

    private List<PendingRead> removeReadyReads(String stream) {
        List<PendingRead> ready = pendingReads.stream()
                .filter(waiter -> waiter.stream.equals(stream) && !isWaitingForRecords(waiter))
                .toList();
        pendingReads.removeAll(ready);
        return ready;
    }

    private void completeIfPending(PendingRead waiter) {
        if (removePendingRead(waiter)) {
            complete(waiter);
        }
    }

    private synchronized boolean removePendingRead(PendingRead waiter) {
        return pendingReads.remove(waiter);
    }

    private void complete(PendingRead waiter) {
        long delay;
        Runnable answer;
        synchronized (this) {
            delay = responseDelayMillis;
            answer = applyRead(waiter);
        }
        timers.schedule(delay, answer);
    }

    private Runnable applyRead(PendingRead waiter) {
        ServerExchange call = waiter.call;
        if (outage) {
            return () -> call.sendError(createOutageError());
        }
        RecordStream stream = Optional.ofNullable(streams.get(waiter.stream)).orElseGet(RecordStream::new);
        stream.removeBefore(System.currentTimeMillis() - retainMillis);
        long first = stream.getFirstOffset();
        if (waiter.from < first) {
            String message = "offset " + waiter.from + " has been removed; read from " + first;
            return () -> call.send(
                    GONE, new LogResponses.OffsetRemoved(new ErrorResponse.Detail("removed", message), first));
        }
        List<LogResponses.Entry> entries = stream.read(waiter.from, waiter.limit).stream()
                .map(LogResponses.Entry::of)
                .toList();
        LogResponses.Page page = new LogResponses.Page(first, stream.getNextOffset(), entries);
        return () -> call.send(OK, page);
    }

    private void applyFaults(ServerExchange call) throws IOException {
        LogFaults faults = call.parseBodyStrictly(LogFaults.class);
        List<PendingRead> ended;
        synchronized (this) {
            outage = Optional.ofNullable(faults.outage()).orElse(outage);
            responseDelayMillis = Optional.ofNullable(faults.slowMillis()).orElse(responseDelayMillis);
            loseResponses = Optional.ofNullable(faults.loseAnswers()).orElse(loseResponses);
            responsesToLose = Optional.ofNullable(faults.loseNext()).orElse(responsesToLose);
            retainMillis = Optional.ofNullable(faults.retainMillis()).orElse(retainMillis);
            Optional.ofNullable(faults.appendsPerSecond()).ifPresent(rateLimiter::setPerSecond);
            ended = outage ? List.copyOf(pendingReads) : List.of();
            pendingReads.removeAll(ended);
        }
        ended.forEach(this::complete);
        if (Boolean.TRUE.equals(faults.silent())) {
            call.makeOtherConnectionsUnresponsive();
        }
        call.send(OK, new LogResponses.Done(true));
    }

    private synchronized LogResponses.Counters getCounters() {
        return new LogResponses.Counters(appends, refusedByRate, lostResponses, reads);
    }

    private static ErrorResponse createOutageError() {
        return new ErrorResponse(SERVICE_UNAVAILABLE, "outage", "the log service is down; repeat later");
    }

    private static long getMonotonicMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Read call that may wait for records; compared by identity. */
    private static final class PendingRead {
        private final ServerExchange call;
        private final String stream;
        private final long from;
        private final int limit;

        PendingRead(ServerExchange call, String stream, long from, int limit) {
            this.call = call;
            this.stream = stream;
            this.from = from;
            this.limit = limit;
        }
    }
}
