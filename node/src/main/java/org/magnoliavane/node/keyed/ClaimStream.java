package org.magnoliavane.node.keyed;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.magnoliavane.NodeRun;
import org.magnoliavane.http.Failures;
import org.magnoliavane.idempotency.Claim;
import org.magnoliavane.idempotency.ClaimTable;
import org.magnoliavane.node.log.LogPage;
import org.magnoliavane.node.log.LogRecord;
import org.magnoliavane.node.log.LogService;
import org.magnoliavane.node.log.LogUnavailableException;

/**
 * Appends claims in batches and follows the stream {@code claims}.
 *
 * <p>Thread-safe.
 */
final class ClaimStream {
    /** What became of an append. */
    enum Append {
        /** The record is in the stream. */
        DONE,
        /** The record is not in the stream and never will be. */
        NOT_DONE,
        /** The record may be in the stream, now or later. */
        UNKNOWN
    }

    private static final Logger LOG = System.getLogger(ClaimStream.class.getName());
    private static final String STREAM = "claims";
    private static final int BATCH = 500;
    private static final int PAGE = 1000;
    private static final long POLL_MILLIS = 5000;
    private static final long IDLE_MILLIS = 20;
    private static final long RETRY_MILLIS = 250;

    private final NodeRun self;
    private final LogService log;
    private final Timers timers;
    private final ClaimTable fold = new ClaimTable();
    private final Map<String, CompletableFuture<Claim>> waiting = new HashMap<>();
    private final List<Queued> queue = new ArrayList<>();
    private boolean appending;
    private boolean stopped;
    private long next;
    private OptionalLong syncedMillis = OptionalLong.empty();

    private ClaimStream(NodeRun self, LogService log, Timers timers) {
        this.self = self;
        this.log = log;
        this.timers = timers;
    }

    static ClaimStream start(NodeRun self, LogService log, Timers timers) {
        ClaimStream stream = new ClaimStream(self, log, timers);
        timers.after(0, stream::read);
        return stream;
    }

    synchronized void stop() {
        stopped = true;
    }

    synchronized Optional<Claim> find(String digest) {
        return fold.find(digest);
    }

    /** Gets the time up to which the whole stream is known; empty before the first read reached its end. */
    synchronized OptionalLong getSyncedMillis() {
        return syncedMillis;
    }

    synchronized int getSize() {
        return fold.getSize();
    }

    /** Waits for the first claim of a key. */
    synchronized CompletableFuture<Claim> await(String digest) {
        Optional<Claim> known = fold.find(digest);
        return known.isPresent()
                ? CompletableFuture.completedFuture(known.get())
                : waiting.computeIfAbsent(digest, key -> new CompletableFuture<>());
    }

    synchronized void forget(String digest) {
        waiting.remove(digest);
    }

    /** Claims a key for this run; several keys share a record. */
    CompletableFuture<Append> append(String digest) {
        Queued queued = new Queued(digest, new CompletableFuture<>());
        synchronized (this) {
            queue.add(queued);
        }
        timers.after(0, this::appendNext);
        return queued.result;
    }

    private void appendNext() {
        List<Queued> batch;
        synchronized (this) {
            if (appending || queue.isEmpty()) {
                return;
            }
            appending = true;
            List<Queued> first = queue.subList(0, Math.min(BATCH, queue.size()));
            batch = List.copyOf(first);
            first.clear();
        }
        byte[] record =
                ClaimTable.toRecord(self, batch.stream().map(Queued::digest).toList());
        log.append(STREAM, record).whenComplete((offset, cause) -> finish(batch, cause));
    }

    private void finish(List<Queued> batch, Throwable failure) {
        synchronized (this) {
            appending = false;
        }
        Append outcome = failure == null ? Append.DONE : classify(failure);
        batch.forEach(queued -> queued.result.complete(outcome));
        timers.after(0, this::appendNext);
    }

    private static Append classify(Throwable failure) {
        Throwable cause = Failures.unwrap(failure);
        boolean certain = cause instanceof LogUnavailableException log && !log.isOutcomeUnknown();
        return certain ? Append.NOT_DONE : Append.UNKNOWN;
    }

    private void read() {
        long from;
        long wait;
        synchronized (this) {
            if (stopped) {
                return;
            }
            from = next;
            // An empty stream answers a long poll only at its end; until then this node could refuse no key as not run.
            wait = syncedMillis.isPresent() ? POLL_MILLIS : 0;
        }
        long startMillis = timers.nowMillis();
        log.read(STREAM, from, PAGE, wait).whenComplete((page, cause) -> {
            if (cause != null) {
                timers.after(RETRY_MILLIS, this::read);
                return;
            }
            take(page, startMillis);
            timers.after(page.records().isEmpty() ? IDLE_MILLIS : 0, this::read);
        });
    }

    private void take(LogPage page, long startMillis) {
        Map<CompletableFuture<Claim>, Claim> decided = new HashMap<>();
        synchronized (this) {
            next = Math.max(next, page.firstOffset());
            for (LogRecord record : page.records()) {
                takeRecord(record, decided);
            }
            fold.removeBefore(page.firstOffset());
            if (next >= page.nextOffset()) {
                syncedMillis = OptionalLong.of(startMillis);
            }
        }
        decided.forEach(CompletableFuture::complete);
    }

    private void takeRecord(LogRecord record, Map<CompletableFuture<Claim>, Claim> decided) {
        if (record.offset() < next) {
            return;
        }
        next = record.offset() + 1;
        long skipped = fold.getUnreadableCount();
        for (String digest : fold.applyRecord(record.offset(), record.data())) {
            CompletableFuture<Claim> waiter = waiting.remove(digest);
            if (waiter != null) {
                decided.put(waiter, fold.find(digest).orElseThrow());
            }
        }
        if (fold.getUnreadableCount() > skipped) {
            LOG.log(
                    Level.WARNING,
                    "Record {0} of the stream claims is unreadable and skipped. Remedy: find out who else appends.",
                    record.offset());
        }
    }

    private record Queued(String digest, CompletableFuture<Append> result) {}
}
