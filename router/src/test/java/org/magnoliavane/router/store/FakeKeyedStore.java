package org.magnoliavane.router.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.magnoliavane.router.VirtualTimers;

/** A store with one topic in virtual time that counts its calls. */
public final class FakeKeyedStore implements KeyedStore {
    /** Time that the store takes to respond. */
    private static final long RESPONSE_MILLIS = 4;

    private static final long SNAPSHOT_TIMEOUT_MILLIS = 1500;

    private final VirtualTimers timers;
    private final List<KeyedRecord> records = new ArrayList<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private long responseMillis = RESPONSE_MILLIS;
    private boolean down;
    private boolean historyLost;
    private Runnable onSnapshot = () -> {};
    private boolean unresponsive;
    private int lostReads;
    private int calls;
    private long era;
    private long orderLogEnd;
    private int claims;

    public FakeKeyedStore(VirtualTimers timers) {
        this.timers = timers;
    }

    public void put(String key, String value) {
        records.add(new KeyedRecord(key, value.getBytes(), records.size()));
        List<Waiter> woken = List.copyOf(waiters);
        waiters.clear();
        woken.forEach(w -> respond(w.result, w.from));
    }

    /**
     * Brings the store back from the copy with the given number of records, in a new epoch. Reads that are held open get no
     * response.
     */
    public void rollBack(int copyEnd) {
        records.subList(copyEnd, records.size()).clear();
        era++;
        loseWaitingReads();
    }

    /** Gets the end of the topic, from which the next record is added. */
    public int getEnd() {
        return records.size();
    }

    public int getClaimCount() {
        return claims;
    }

    void setDown(boolean value) {
        down = value;
    }

    /** Lets reads get no response, as in a network partition between the node and the store. */
    public void setUnresponsive(boolean value) {
        unresponsive = value;
        loseWaitingReads();
    }

    /** Lets the next read of changes fail because the records were deleted. */
    void loseHistory() {
        historyLost = true;
    }

    /** Sets a task that runs between the first page of each snapshot and its other pages. */
    void setOnSnapshot(Runnable task) {
        onSnapshot = task;
    }

    public void setResponseMillis(long millis) {
        responseMillis = millis;
    }

    /** Lets the read that is held open, or else the next one, get no response, although the store serves the later ones. */
    public void loseRead() {
        loseReads(1);
    }

    /** Lets as many reads get no response, from the one that is held open. */
    public void loseReads(int count) {
        lostReads = count - waiters.size();
        loseWaitingReads();
    }

    private void loseWaitingReads() {
        waiters.forEach(w -> failLater(w.result, Math.max(0, w.timeoutAtMillis - timers.now())));
        waiters.clear();
    }

    private void failLater(CompletableFuture<RecordBatch> result, long timeoutMillis) {
        timers.at(timers.now() + timeoutMillis, () -> result.completeExceptionally(new IOException("no response")));
    }

    int getCallCount() {
        return calls;
    }

    @Override
    public CompletionStage<RecordBatch> readSnapshot(Topic topic) {
        CompletionStage<RecordBatch> all = readChanges(topic, 0, 0, SNAPSHOT_TIMEOUT_MILLIS);
        long end = records.size();
        onSnapshot.run();
        // Later pages have records from after the first one, whose end offset counts.
        return all.thenApply(b -> new RecordBatch(getNewest(b.records()), end, b.era()));
    }

    private static List<KeyedRecord> getNewest(List<KeyedRecord> all) {
        Map<String, KeyedRecord> newest = new LinkedHashMap<>();
        all.forEach(r -> newest.put(r.key(), r));
        newest.values().removeIf(KeyedRecord::isRemoval);
        return List.copyOf(newest.values());
    }

    @Override
    public CompletionStage<RecordBatch> readChanges(Topic topic, long from, long waitMillis, long timeoutMillis) {
        calls++;
        if (historyLost && from > 0 || from > records.size()) {
            historyLost = false;
            return CompletableFuture.failedFuture(new HistoryLostException(topic, from));
        }
        if (down) {
            return CompletableFuture.failedFuture(new IOException("down"));
        }
        CompletableFuture<RecordBatch> result = new CompletableFuture<>();
        if (unresponsive || lostReads > 0) {
            lostReads = Math.max(0, lostReads - 1);
            failLater(result, waitMillis + timeoutMillis);
            return result;
        }
        if (from < records.size() || waitMillis == 0) {
            respond(result, from);
        } else {
            Waiter waiter = new Waiter(from, result, timers.now() + waitMillis + timeoutMillis);
            waiters.add(waiter);
            timers.schedule(
                    () -> {
                        if (waiters.remove(waiter)) {
                            respond(result, from);
                        }
                    },
                    waitMillis,
                    TimeUnit.MILLISECONDS);
        }
        return result;
    }

    private void respond(CompletableFuture<RecordBatch> result, long from) {
        long responseEra = era;
        timers.at(
                timers.now() + responseMillis,
                () -> result.complete(
                        responseEra == era ? readFrom(from) : new RecordBatch(List.of(), from, responseEra)));
    }

    private RecordBatch readFrom(long from) {
        return new RecordBatch(List.copyOf(records.subList((int) from, records.size())), records.size(), era);
    }

    @Override
    public CompletionStage<Long> listNode(NodeListing node) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<Long> removeNode(String name) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<OrderClaimResult> appendOrderClaim(String holder, long expectedEnd) {
        claims++;
        boolean accepted = expectedEnd == orderLogEnd;
        orderLogEnd += accepted ? 1 : 0;
        return CompletableFuture.completedFuture(new OrderClaimResult(accepted, orderLogEnd, era));
    }

    private record Waiter(long from, CompletableFuture<RecordBatch> result, long timeoutAtMillis) {}
}
