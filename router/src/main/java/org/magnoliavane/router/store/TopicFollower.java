package org.magnoliavane.router.store;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.magnoliavane.http.Failures;

/**
 * Follows a topic of the store. Reads a snapshot first and then the changes. When changes were deleted before they were
 * read, it reads a new snapshot. While the store does not answer, it retries, and the listener keeps its last known
 * state.
 *
 * <p>Thread-safe.
 */
public final class TopicFollower {
    private static final Logger LOG = System.getLogger(TopicFollower.class.getName());
    private static final long FIRST_RETRY_MILLIS = 150;
    private static final long MAX_RETRY_MILLIS = 1000;

    private final KeyedStore store;
    private final Topic topic;
    private final TopicListener listener;
    private final ScheduledExecutorService timers;
    private final LongSupplier millis;
    private final long waitMillis;
    private final long minIntervalMillis;

    private final Map<String, Long> offsets = new HashMap<>();
    private CompletableFuture<Void> nextRefresh = new CompletableFuture<>();
    private long nextOffset = -1;
    private long generation;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private long lastSuccessMillis = Long.MIN_VALUE;
    private boolean refreshing;
    private boolean inOutage;
    private boolean snapshotKnown;

    /**
     * Creates a follower.
     *
     * @param store the store
     * @param topic the topic
     * @param listener receives the changes
     * @param timers schedules the reads and retries
     * @param millis a monotonic clock in milliseconds
     * @param waitMillis the time in milliseconds that the store holds a read open while nothing changes
     * @param minIntervalMillis the minimum time in milliseconds between two reads, so that frequent changes arrive in
     *     batches
     */
    public TopicFollower(
            KeyedStore store,
            Topic topic,
            TopicListener listener,
            ScheduledExecutorService timers,
            LongSupplier millis,
            long waitMillis,
            long minIntervalMillis) {
        this.store = store;
        this.topic = topic;
        this.listener = listener;
        this.timers = timers;
        this.millis = millis;
        this.waitMillis = waitMillis;
        this.minIntervalMillis = minIntervalMillis;
    }

    /**
     * Abandons the read in progress and reads the current records at once. During a refresh, further calls return the
     * same stage.
     *
     * @return a stage that completes with the first successful read from now on
     */
    public CompletionStage<Void> refresh() {
        CompletableFuture<Void> result;
        synchronized (this) {
            if (refreshing) {
                return nextRefresh;
            }
            refreshing = true;
            nextRefresh = new CompletableFuture<>();
            result = nextRefresh;
            generation++;
        }
        sendRead(0);
        return result;
    }

    /**
     * Returns whether the content of the topic is known.
     *
     * @return true once a snapshot has been read
     */
    public synchronized boolean isKnown() {
        return snapshotKnown;
    }

    /**
     * Gets the time since the last successful read.
     *
     * @return the time in milliseconds; {@link Long#MAX_VALUE} before the first successful read
     */
    public synchronized long getAgeMillis() {
        return lastSuccessMillis == Long.MIN_VALUE ? Long.MAX_VALUE : millis.getAsLong() - lastSuccessMillis;
    }

    private void sendRead(long wait) {
        long current;
        long from;
        synchronized (this) {
            current = generation;
            from = nextOffset;
        }
        boolean isSnapshot = from < 0;
        CompletionStage<RecordBatch> batch =
                isSnapshot ? store.readSnapshot(topic) : store.readChanges(topic, from, wait);
        batch.whenComplete((result, failure) -> {
            if (failure == null) {
                apply(current, result, isSnapshot);
            } else {
                handleFailure(current, Failures.unwrap(failure));
            }
        });
    }

    private void apply(long current, RecordBatch batch, boolean isSnapshot) {
        CompletableFuture<Void> refresh;
        synchronized (this) {
            if (current != generation) {
                return;
            }
            boolean outdated = isSnapshot && batch.nextOffset() < getHighestOffset();
            if (inOutage) {
                inOutage = false;
                LOG.log(
                        Level.INFO,
                        "event=store_regained topic={0} offset={1}",
                        topic,
                        Long.toString(batch.nextOffset()));
                listener.onOutageEnd();
            }
            retryMillis = FIRST_RETRY_MILLIS;
            lastSuccessMillis = millis.getAsLong();
            Set<String> keys = new HashSet<>();
            for (KeyedRecord change : batch.records()) {
                keys.add(change.key());
                if (change.offset() > offsets.getOrDefault(change.key(), -1L)) {
                    offsets.put(change.key(), change.offset());
                    listener.onChange(change);
                }
            }
            if (isSnapshot && !outdated) {
                listener.onSnapshot(keys);
            }
            nextOffset = batch.nextOffset();
            snapshotKnown = true;
            refreshing = false;
            refresh = nextRefresh;
        }
        refresh.complete(null);
        scheduleRead(current, isSnapshot ? 0 : minIntervalMillis);
    }

    private synchronized long getHighestOffset() {
        return offsets.values().stream().mapToLong(o -> o).max().orElse(-1);
    }

    private void handleFailure(long current, Throwable failure) {
        long delay;
        synchronized (this) {
            if (current != generation) {
                return;
            }
            if (failure instanceof HistoryLostException) {
                LOG.log(Level.INFO, "event=history_lost topic={0} offset={1}", topic, Long.toString(nextOffset));
                nextOffset = -1;
                delay = 0;
            } else {
                if (!inOutage) {
                    LOG.log(Level.WARNING, "event=store_lost topic={0} reason=\"{1}\"", topic, failure.getMessage());
                }
                inOutage = true;
                delay = retryMillis;
                retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
            }
        }
        scheduleRead(current, delay);
    }

    private void scheduleRead(long current, long delay) {
        timers.schedule(
                () -> {
                    boolean stillCurrent;
                    long wait;
                    synchronized (this) {
                        stillCurrent = current == generation;
                        wait = inOutage ? 0 : waitMillis;
                    }
                    if (stillCurrent) {
                        sendRead(wait);
                    }
                },
                delay,
                TimeUnit.MILLISECONDS);
    }
}
