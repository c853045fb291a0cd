package org.magnoliavane.emulator.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/**
 * Takes snapshots of the load at regular intervals and returns them with a lag.
 *
 * <p>Not thread-safe.
 */
final class DelayedLoadReports {
    private static final long INTERVAL_MICROS = Micros.ofMillis(50);

    private final Supplier<LoadReport> source;
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private long lagMicros;
    private long nextSnapshotMicros;

    DelayedLoadReports(Supplier<LoadReport> source, long lagMicros) {
        this.source = source;
        this.lagMicros = lagMicros;
    }

    void setLagMicros(long micros) {
        lagMicros = micros;
    }

    void advance(long nowMicros) {
        if (nowMicros < nextSnapshotMicros) {
            return;
        }
        nextSnapshotMicros = nowMicros + INTERVAL_MICROS;
        snapshots.addLast(new Snapshot(nowMicros, source.get()));
        while (snapshots.size() > 1 && getSecondOldest().timeMicros <= nowMicros - lagMicros) {
            snapshots.removeFirst();
        }
    }

    long getNextSnapshotMicros() {
        return nextSnapshotMicros;
    }

    LoadReport getDelayedReport(long nowMicros) {
        if (lagMicros == 0) {
            return source.get();
        }
        Snapshot found = snapshots.peekFirst();
        for (Snapshot snapshot : snapshots) {
            found = snapshot.timeMicros <= nowMicros - lagMicros ? snapshot : found;
        }
        return found.report;
    }

    private Snapshot getSecondOldest() {
        var iterator = snapshots.iterator();
        iterator.next();
        return iterator.next();
    }

    private record Snapshot(long timeMicros, LoadReport report) {}
}
