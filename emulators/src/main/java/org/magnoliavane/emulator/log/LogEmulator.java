package org.magnoliavane.emulator.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.magnoliavane.emulator.CommandOptions;
import org.magnoliavane.emulator.Emulator;
import org.magnoliavane.emulator.http.Call;
import org.magnoliavane.emulator.http.EmulatorServer;
import org.magnoliavane.emulator.http.Refusal;
import org.magnoliavane.emulator.http.Routes;
import org.magnoliavane.emulator.http.Timers;

/**
 * Emulates the log service: append-only streams in memory with offsets, a limited append rate, retention by time,
 * long polls, and faults by {@code POST /control}.
 *
 * <p>Thread-safe.
 */
public final class LogEmulator implements Emulator {
    private static final int MOST_RECORDS_PER_READ = 1000;
    private static final long MOST_WAIT_MILLIS = 60_000;
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int GONE = 410;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private final Map<String, RecordStream> streams = new HashMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private final AppendLimit limit;
    private final Timers timers = Timers.start("log-emulator-timers");
    private final EmulatorServer server;
    private long retainMillis;
    private long slowMillis;
    private boolean outage;
    private boolean loseAnswers;
    private int loseNext;
    private long lastTimestamp;
    private long appends;
    private long refusedByRate;
    private long lostAnswers;
    private long reads;

    private LogEmulator(LogOptions options) throws IOException {
        limit = new AppendLimit(options.getAppendsPerSecond(), getSteadyMillis());
        retainMillis = options.getRetainMillis();
        Routes routes = new Routes()
                .on("POST", "/v1/streams/{stream}/records", this::append)
                .on("GET", "/v1/streams/{stream}/records", this::read)
                .on("POST", "/control", this::control)
                .on("GET", "/control/counters", call -> call.answer(OK, getCounters()));
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

    private void append(Call call) {
        String stream = call.getPathValue("stream");
        long delay;
        Runnable answer;
        List<Waiter> ready;
        synchronized (this) {
            delay = slowMillis;
            answer = appendNow(stream, call);
            ready = takeReadyWaiters(stream);
        }
        ready.forEach(this::finish);
        timers.after(delay, answer);
    }

    private Runnable appendNow(String stream, Call call) {
        if (outage) {
            return () -> call.refuse(outage());
        }
        if (!limit.tryTake(getSteadyMillis())) {
            refusedByRate++;
            String message = "append rate exceeded; repeat after some milliseconds";
            return () -> call.refuse(new Refusal(TOO_MANY, "rate_limited", message));
        }
        lastTimestamp = Math.max(lastTimestamp, System.currentTimeMillis());
        long offset =
                streams.computeIfAbsent(stream, name -> new RecordStream()).append(call.getBody(), lastTimestamp);
        appends++;
        if (takeLostAnswer()) {
            return call::drop;
        }
        return () -> call.answer(CREATED, new LogAnswers.Appended(offset));
    }

    private boolean takeLostAnswer() {
        if (!loseAnswers && loseNext == 0) {
            return false;
        }
        loseNext = Math.max(0, loseNext - 1);
        lostAnswers++;
        return true;
    }

    private void read(Call call) {
        Waiter waiter = new Waiter(call, call.getPathValue("stream"), call.getLong("from", 0), (int)
                Math.min(MOST_RECORDS_PER_READ, call.getLong("limit", MOST_RECORDS_PER_READ)));
        long wait = Math.min(MOST_WAIT_MILLIS, call.getLong("wait_millis", 0));
        if (waiter.from < 0 || waiter.limit < 1) {
            throw new IllegalArgumentException("from must be at least 0 and limit at least 1");
        }
        synchronized (this) {
            reads++;
            if (wait > 0 && mustWait(waiter)) {
                waiters.add(waiter);
                timers.after(wait, () -> finishIfWaiting(waiter));
                call.onClose(() -> forget(waiter));
                return;
            }
        }
        finish(waiter);
    }

    private boolean mustWait(Waiter waiter) {
        RecordStream stream = streams.get(waiter.stream);
        return !outage && (stream == null || waiter.from >= stream.getNextOffset());
    }

    private List<Waiter> takeReadyWaiters(String stream) {
        List<Waiter> ready = waiters.stream()
                .filter(waiter -> waiter.stream.equals(stream) && !mustWait(waiter))
                .toList();
        waiters.removeAll(ready);
        return ready;
    }

    private void finishIfWaiting(Waiter waiter) {
        if (forget(waiter)) {
            finish(waiter);
        }
    }

    private synchronized boolean forget(Waiter waiter) {
        return waiters.remove(waiter);
    }

    private void finish(Waiter waiter) {
        long delay;
        Runnable answer;
        synchronized (this) {
            delay = slowMillis;
            answer = readNow(waiter);
        }
        timers.after(delay, answer);
    }

    private Runnable readNow(Waiter waiter) {
        Call call = waiter.call;
        if (outage) {
            return () -> call.refuse(outage());
        }
        RecordStream stream = Optional.ofNullable(streams.get(waiter.stream)).orElseGet(RecordStream::new);
        stream.removeBefore(System.currentTimeMillis() - retainMillis);
        long first = stream.getFirstOffset();
        if (waiter.from < first) {
            String message = "offset " + waiter.from + " has been removed; read from " + first;
            return () -> call.answer(GONE, new LogAnswers.Removed(new Refusal.Detail("removed", message), first));
        }
        List<LogAnswers.Entry> entries = stream.read(waiter.from, waiter.limit).stream()
                .map(LogAnswers.Entry::of)
                .toList();
        LogAnswers.Page page = new LogAnswers.Page(first, stream.getNextOffset(), entries);
        return () -> call.answer(OK, page);
    }

    private void control(Call call) throws IOException {
        LogFaults faults = call.parseStrictly(LogFaults.class);
        List<Waiter> ended;
        synchronized (this) {
            outage = Optional.ofNullable(faults.outage()).orElse(outage);
            slowMillis = Optional.ofNullable(faults.slowMillis()).orElse(slowMillis);
            loseAnswers = Optional.ofNullable(faults.loseAnswers()).orElse(loseAnswers);
            loseNext = Optional.ofNullable(faults.loseNext()).orElse(loseNext);
            retainMillis = Optional.ofNullable(faults.retainMillis()).orElse(retainMillis);
            Optional.ofNullable(faults.appendsPerSecond()).ifPresent(limit::setPerSecond);
            ended = outage ? List.copyOf(waiters) : List.of();
            waiters.removeAll(ended);
        }
        ended.forEach(this::finish);
        if (Boolean.TRUE.equals(faults.silent())) {
            call.silenceOtherConnections();
        }
        call.answer(OK, new LogAnswers.Done(true));
    }

    private synchronized LogAnswers.Counters getCounters() {
        return new LogAnswers.Counters(appends, refusedByRate, lostAnswers, reads);
    }

    private static Refusal outage() {
        return new Refusal(UNAVAILABLE, "outage", "the log service is down; repeat later");
    }

    private static long getSteadyMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Read call that may wait for records; compared by identity. */
    private static final class Waiter {
        private final Call call;
        private final String stream;
        private final long from;
        private final int limit;

        Waiter(Call call, String stream, long from, int limit) {
            this.call = call;
            this.stream = stream;
            this.from = from;
            this.limit = limit;
        }
    }
}
