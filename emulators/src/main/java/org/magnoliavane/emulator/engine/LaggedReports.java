package org.magnoliavane.emulator.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/**
 * Keeps load reports of the last moments, so that they can be given out with a lag.
 *
 * <p>Not thread-safe.
 */
final class LaggedReports {
    private static final long INTERVAL_MICROS = Micros.ofMillis(50);

    private final Supplier<LoadReport> source;
    private final Deque<Taken> reports = new ArrayDeque<>();
    private long lagMicros;
    private long nextMicros;

    LaggedReports(Supplier<LoadReport> source, long lagMicros) {
        this.source = source;
        this.lagMicros = lagMicros;
    }

    void setLagMicros(long micros) {
        lagMicros = micros;
    }

    void advance(long nowMicros) {
        if (nowMicros < nextMicros) {
            return;
        }
        nextMicros = nowMicros + INTERVAL_MICROS;
        reports.addLast(new Taken(nowMicros, source.get()));
        while (reports.size() > 1 && second().micros <= nowMicros - lagMicros) {
            reports.removeFirst();
        }
    }

    long getNextMicros() {
        return nextMicros;
    }

    LoadReport get(long nowMicros) {
        if (lagMicros == 0) {
            return source.get();
        }
        Taken found = reports.peekFirst();
        for (Taken taken : reports) {
            found = taken.micros <= nowMicros - lagMicros ? taken : found;
        }
        return found.report;
    }

    private Taken second() {
        var iterator = reports.iterator();
        iterator.next();
        return iterator.next();
    }

    private record Taken(long micros, LoadReport report) {}
}
