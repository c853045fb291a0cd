package org.magnoliavane.node.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/** Simulates the log service in memory, with outages, lost responses and retention. Thread-safe. */
public final class TestLog implements LogService {
    private final List<LogRecord> records = new ArrayList<>();
    private long firstOffset;
    private boolean outage;
    private int lostResponses;

    public synchronized void setOutage(boolean value) {
        outage = value;
    }

    public synchronized void loseResponses(int count) {
        lostResponses = count;
    }

    public synchronized void removeBefore(long offset) {
        firstOffset = offset;
    }

    public synchronized long getNextOffset() {
        return records.size();
    }

    public synchronized List<LogRecord> getRecords() {
        return List.copyOf(records);
    }

    @Override
    public synchronized CompletionStage<Long> append(String stream, byte[] data) {
        if (outage) {
            return CompletableFuture.failedFuture(new LogUnavailableException("outage", false, null));
        }
        records.add(new LogRecord(records.size(), System.currentTimeMillis(), data));
        notifyAll();
        if (lostResponses > 0) {
            lostResponses--;
            return CompletableFuture.failedFuture(new LogUnavailableException("response lost", true, null));
        }
        return CompletableFuture.completedFuture(records.size() - 1L);
    }

    @Override
    public CompletionStage<LogPage> read(String stream, long from, int limit, long waitMillis) {
        return CompletableFuture.supplyAsync(() -> readNow(from, limit, waitMillis));
    }

    private synchronized LogPage readNow(long from, int limit, long waitMillis) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        while (!outage && Math.max(from, firstOffset) >= records.size() && System.nanoTime() < deadline) {
            try {
                wait(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        if (outage) {
            throw new CompletionException(new LogUnavailableException("outage", false, null));
        }
        int start = (int) Math.min(Math.max(from, firstOffset), records.size());
        int stop = Math.min(start + limit, records.size());
        return new LogPage(firstOffset, records.size(), List.copyOf(records.subList(start, stop)));
    }
}
