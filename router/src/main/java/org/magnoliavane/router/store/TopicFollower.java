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
 * Follows a topic of the store: a snapshot first, then the changes. When the history is gone it reads a snapshot again;
 * while the store does not answer it tries again and the listener keeps what it knows.
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
    private final long paceMillis;

    private final Map<String, Long> offsets = new HashMap<>();
    private CompletableFuture<Void> refreshed = new CompletableFuture<>();
    private long next = -1;
    private long round;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private long lastSuccessMillis = Long.MIN_VALUE;
    private boolean refreshing;
    private boolean away;
    private boolean known;

    /**
     * Creates a follower.
     *
     * @param store the store
     * @param topic the topic
     * @param listener takes what is read
     * @param timers runs retries and pauses
     * @param millis a monotonic clock in milliseconds
     * @param waitMillis how long a read waits at the store when nothing changes
     * @param paceMillis the least time between two reads, so that frequent changes come in batches
     */
    public TopicFollower(
            KeyedStore store,
            Topic topic,
            TopicListener listener,
            ScheduledExecutorService timers,
            LongSupplier millis,
            long waitMillis,
            long paceMillis) {
        this.store = store;
        this.topic = topic;
        this.listener = listener;
        this.timers = timers;
        this.millis = millis;
        this.waitMillis = waitMillis;
        this.paceMillis = paceMillis;
    }

    /**
     * Drops the read in progress and reads at once what the store has.
     *
     * @return completes with the first answer from now on
     */
    public CompletionStage<Void> refresh() {
        CompletableFuture<Void> result;
        synchronized (this) {
            if (refreshing) {
                return refreshed;
            }
            refreshing = true;
            refreshed = new CompletableFuture<>();
            result = refreshed;
            round++;
        }
        read(0);
        return result;
    }

    /**
     * Says whether a snapshot has been read.
     *
     * @return true once the content of the topic is known
     */
    public synchronized boolean isKnown() {
        return known;
    }

    /**
     * Gets the age of the last answer.
     *
     * @return milliseconds since the store last answered; very large before the first answer
     */
    public synchronized long getAgeMillis() {
        return lastSuccessMillis == Long.MIN_VALUE ? Long.MAX_VALUE : millis.getAsLong() - lastSuccessMillis;
    }

    private void read(long wait) {
        long current;
        long from;
        synchronized (this) {
            current = round;
            from = next;
        }
        boolean whole = from < 0;
        CompletionStage<KeyedBatch> batch = whole ? store.snapshot(topic) : store.read(topic, from, wait);
        batch.whenComplete((result, failure) -> {
            if (failure == null) {
                take(current, result, whole);
            } else {
                retry(current, Failures.unwrap(failure));
            }
        });
    }

    private void take(long current, KeyedBatch batch, boolean whole) {
        CompletableFuture<Void> waiting;
        synchronized (this) {
            if (current != round) {
                return;
            }
            boolean behind = whole && batch.nextOffset() < highestOffset();
            if (away) {
                away = false;
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
            if (whole && !behind) {
                listener.onSnapshot(keys);
            }
            next = batch.nextOffset();
            known = true;
            refreshing = false;
            waiting = refreshed;
        }
        waiting.complete(null);
        schedule(current, whole ? 0 : paceMillis);
    }

    private synchronized long highestOffset() {
        return offsets.values().stream().mapToLong(o -> o).max().orElse(-1);
    }

    private void retry(long current, Throwable failure) {
        long delay;
        synchronized (this) {
            if (current != round) {
                return;
            }
            if (failure instanceof HistoryLostException) {
                LOG.log(Level.INFO, "event=history_lost topic={0} offset={1}", topic, Long.toString(next));
                next = -1;
                delay = 0;
            } else {
                if (!away) {
                    LOG.log(Level.WARNING, "event=store_lost topic={0} reason=\"{1}\"", topic, failure.getMessage());
                }
                away = true;
                delay = retryMillis;
                retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
            }
        }
        schedule(current, delay);
    }

    private void schedule(long current, long delay) {
        timers.schedule(
                () -> {
                    boolean stillCurrent;
                    long wait;
                    synchronized (this) {
                        stillCurrent = current == round;
                        wait = away ? 0 : waitMillis;
                    }
                    if (stillCurrent) {
                        read(wait);
                    }
                },
                delay,
                TimeUnit.MILLISECONDS);
    }
}
