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
 * Appends claims to the stream {@code claims} in batches and replays the stream.
 *
 * <p>Thread-safe.
 */
final class ClaimStream {
    /** Outcomes of an append. */
    enum AppendOutcome {
        /** The record was appended. */
        APPENDED,
        /** The record was not appended and never will be. */
        NOT_APPENDED,
        /** The record may have been appended, or may still be appended later. */
        UNKNOWN
    }

    private static final Logger LOG = System.getLogger(ClaimStream.class.getName());
    private static final String STREAM = "claims";
    private static final int MAX_BATCH_CLAIMS = 500;
    private static final int MAX_PAGE_RECORDS = 1000;
    private static final long LONG_POLL_MILLIS = 5000;
    private static final long IDLE_DELAY_MILLIS = 20;
    private static final long RETRY_DELAY_MILLIS = 250;

    private final NodeRun self;
    private final LogService log;
    private final Timers timers;
    private final ClaimTable claims = new ClaimTable();
    private final Map<String, CompletableFuture<Claim>> waiters = new HashMap<>();
    private final List<PendingClaim> pending = new ArrayList<>();
    private boolean appending;
    private boolean stopped;
    private long nextOffset;
    private OptionalLong syncedMillis = OptionalLong.empty();

    private ClaimStream(NodeRun self, LogService log, Timers timers) {
        this.self = self;
        this.log = log;
        this.timers = timers;
    }

    static ClaimStream start(NodeRun self, LogService log, Timers timers) {
        ClaimStream stream = new ClaimStream(self, log, timers);
        timers.runAfter(0, stream::readNextPage);
        return stream;
    }

    synchronized void stop() {
        stopped = true;
    }

    synchronized Optional<Claim> findClaim(String digest) {
        return claims.find(digest);
    }

    /**
     * Finds the time up to which all records of the stream have been read.
     *
     * @return the time in milliseconds, or empty when no read has reached the end of the stream yet
     */
    synchronized OptionalLong findSyncedMillis() {
        return syncedMillis;
    }

    synchronized int getSize() {
        return claims.getSize();
    }

    /** Returns a future of the first claim of a key. */
    synchronized CompletableFuture<Claim> awaitClaim(String digest) {
        Optional<Claim> known = claims.find(digest);
        return known.isPresent()
                ? CompletableFuture.completedFuture(known.get())
                : waiters.computeIfAbsent(digest, key -> new CompletableFuture<>());
    }

    synchronized void stopAwaiting(String digest) {
        waiters.remove(digest);
    }

    /** Claims a key for this node run. One record can hold the claims of several keys. */
    CompletableFuture<AppendOutcome> appendClaim(String digest) {
        PendingClaim claim = new PendingClaim(digest, new CompletableFuture<>());
        synchronized (this) {
            pending.add(claim);
        }
        timers.runAfter(0, this::appendNextBatch);
        return claim.result;
    }

    private void appendNextBatch() {
        List<PendingClaim> batch;
        synchronized (this) {
            if (appending || pending.isEmpty()) {
                return;
            }
            appending = true;
            List<PendingClaim> first = pending.subList(0, Math.min(MAX_BATCH_CLAIMS, pending.size()));
            batch = List.copyOf(first);
            first.clear();
        }
        byte[] record = ClaimTable.toRecord(
                self, batch.stream().map(PendingClaim::digest).toList());
        log.append(STREAM, record).whenComplete((offset, cause) -> completeBatch(batch, cause));
    }

    private void completeBatch(List<PendingClaim> batch, Throwable failure) {
        synchronized (this) {
            appending = false;
        }
        AppendOutcome outcome = failure == null ? AppendOutcome.APPENDED : classifyFailure(failure);
        batch.forEach(claim -> claim.result.complete(outcome));
        timers.runAfter(0, this::appendNextBatch);
    }

    private static AppendOutcome classifyFailure(Throwable failure) {
        Throwable cause = Failures.unwrap(failure);
        boolean certain = cause instanceof LogUnavailableException log && !log.isOutcomeUnknown();
        return certain ? AppendOutcome.NOT_APPENDED : AppendOutcome.UNKNOWN;
    }

    private void readNextPage() {
        long fromOffset;
        long waitMillis;
        synchronized (this) {
            if (stopped) {
                return;
            }
            fromOffset = nextOffset;
            // A long poll of an empty stream returns only after its timeout. Until the first read has returned, this
            // node cannot report that a key was not executed, so the first reads do not wait.
            waitMillis = syncedMillis.isPresent() ? LONG_POLL_MILLIS : 0;
        }
        long startMillis = timers.nowMillis();
        log.read(STREAM, fromOffset, MAX_PAGE_RECORDS, waitMillis).whenComplete((page, cause) -> {
            if (cause != null) {
                timers.runAfter(RETRY_DELAY_MILLIS, this::readNextPage);
                return;
            }
            applyPage(page, startMillis);
            timers.runAfter(page.records().isEmpty() ? IDLE_DELAY_MILLIS : 0, this::readNextPage);
        });
    }

    private void applyPage(LogPage page, long startMillis) {
        Map<CompletableFuture<Claim>, Claim> resolved = new HashMap<>();
        synchronized (this) {
            nextOffset = Math.max(nextOffset, page.firstOffset());
            for (LogRecord record : page.records()) {
                applyRecord(record, resolved);
            }
            claims.removeBefore(page.firstOffset());
            if (nextOffset >= page.nextOffset()) {
                syncedMillis = OptionalLong.of(startMillis);
            }
        }
        resolved.forEach(CompletableFuture::complete);
    }

    private void applyRecord(LogRecord record, Map<CompletableFuture<Claim>, Claim> resolved) {
        if (record.offset() < nextOffset) {
            return;
        }
        nextOffset = record.offset() + 1;
        long unreadable = claims.getUnreadableCount();
        for (String digest : claims.applyRecord(record.offset(), record.data())) {
            CompletableFuture<Claim> waiter = waiters.remove(digest);
            if (waiter != null) {
                resolved.put(waiter, claims.find(digest).orElseThrow());
            }
        }
        if (claims.getUnreadableCount() > unreadable) {
            LOG.log(
                    Level.WARNING,
                    "Skipped unreadable record {0} of the stream claims. Remedy: find out which other program appends"
                            + " to it.",
                    record.offset());
        }
    }

    private record PendingClaim(String digest, CompletableFuture<AppendOutcome> result) {}
}
