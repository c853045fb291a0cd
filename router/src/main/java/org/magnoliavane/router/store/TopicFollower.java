package org.magnoliavane.router.store;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.magnoliavane.http.Failures;
import org.magnoliavane.http.SerialExecutor;
import org.magnoliavane.router.LoopFailures;

/**
 * Follows a topic of the store. Reads a snapshot first and then the changes. When changes were deleted before they were
 * read, it reads a new snapshot. While the store does not answer, it retries, and the listener keeps its last known
 * state.
 *
 * <p>Offsets are compared within one epoch of the store. After a rollback, which raises the epoch, the known state stays in
 * force until a snapshot of the new epoch has been read, and the listener compares its entries with that state. A response
 * of an older epoch is dropped.
 *
 * <p>A read without a response in time gets hedged reads beside it, each on its own connection; the first response counts.
 * They are not held open. There are none while the store is known to be slow or to fail.
 *
 * <p>While another node passes on what it reads ({@link #applyUpdate}), the follower does not read itself, so that the
 * calls to the store do not grow with the number of nodes. It reads again when an update is missing, or when no recent
 * one has arrived. A node that reads for others applies their updates only while its own reads are late ({@link
 * #applyUpdateIfLate}).
 *
 * <p>While the own reads of a topic with hedged reads are late, the follower also asks other nodes for what they have read
 * since ({@link #findUpdateFor}).
 *
 * <p>The listener is called without the lock of the follower, in the order of the results and one call at a time.
 *
 * <p>Thread-safe.
 */
public final class TopicFollower {
    private static final Logger LOG = System.getLogger(TopicFollower.class.getName());
    private static final long MAX_RETRY_MILLIS = 1000;

    /** Time without an update of another node after which the follower reads itself; two updates may be lost. */
    private static final long UPDATE_TIMEOUT_MILLIS = 1250;

    /** Number of failed reads in a row after which the store may be slow and gets more time to respond. */
    private static final int SLOW_STORE_FAILURES = 2;

    /** Number of hedged reads beside one that is late. With three, a node that has lost three reads in a row is still in time. */
    private static final int MAX_HEDGED_READS = 3;

    /** Factor of the last response time within which a read is not late, so that a slower store gets no more calls. */
    private static final int USUAL_RESPONSE_FACTOR = 2;

    /** Number of changes that are kept for nodes whose own reads are late. Renewals of entries are no changes. */
    private static final int MAX_RECENT_CHANGES = 256;

    private final KeyedStore store;
    private final Topic topic;
    private final TopicListener listener;
    private final ScheduledExecutorService timers;
    private final LongSupplier millis;
    private final ReadSchedule schedule;
    private final Consumer<TopicUpdate> onRead;
    private final Consumer<TopicUpdate> onLate;
    private final LoopFailures failures;
    private final String loop;

    /** Applies results one at a time, in the order in which they arrive. */
    private final SerialExecutor results = SerialExecutor.create();

    /** The offset of the newest known record of each key. Only the tasks of {@link #results} use it. */
    private final Map<String, Long> offsets = new HashMap<>();

    private CompletableFuture<Void> nextRefresh = new CompletableFuture<>();
    private long nextOffset = -1;
    private long generation;

    /** Distinguishes a read and the hedged ones beside it from earlier reads, whose results are dropped. */
    private long round;

    /** Number of reads of the round without a result. */
    private int pendingReads;

    /** Whether the store has not responded in time since the last successful read of this node. */
    private boolean late;

    private boolean asking;

    /** The changes from {@link #recentFrom} on, for other nodes. */
    private final Deque<KeyedRecord> recentChanges = new ArrayDeque<>();

    private long recentFrom;

    /** Time in milliseconds beyond its wait that the last successful read of changes took. */
    private long usualResponseMillis;

    private long retryMillis;
    private int failedReads;
    private boolean slowStore;
    private long lastSuccessMillis = Long.MIN_VALUE;
    private long updatedUntilMillis = Long.MIN_VALUE;
    private boolean refreshing;
    private boolean catchingUp;
    private boolean inOutage;
    private boolean snapshotKnown;
    private long era;

    /** The highest epoch that was heard of, so that a wrong one leads to one snapshot only. */
    private long observedEra;

    /** Whether a newer epoch was heard of and its snapshot has not been read. */
    private boolean newerEra;

    /**
     * Creates a follower.
     *
     * @param source the topic and the times of its reads
     * @param listener receives the changes
     * @param timers schedules the reads and retries
     * @param millis a monotonic clock in milliseconds
     * @param onRead receives what each read of changes returned
     * @param failures records what could not be applied
     */
    public TopicFollower(
            TopicSource source,
            TopicListener listener,
            ScheduledExecutorService timers,
            LongSupplier millis,
            Consumer<TopicUpdate> onRead,
            LoopFailures failures) {
        this(source, listener, timers, millis, onRead, position -> {}, failures);
    }

    /**
     * Creates a follower that asks other nodes while its own reads are late.
     *
     * @param source the topic and the times of its reads
     * @param listener receives the changes
     * @param timers schedules the reads and retries
     * @param millis a monotonic clock in milliseconds
     * @param onRead receives what each read of changes returned
     * @param onLate receives the position of this follower at intervals while its own reads are late
     * @param failures records what could not be applied
     */
    public TopicFollower(
            TopicSource source,
            TopicListener listener,
            ScheduledExecutorService timers,
            LongSupplier millis,
            Consumer<TopicUpdate> onRead,
            Consumer<TopicUpdate> onLate,
            LoopFailures failures) {
        this.store = source.store();
        this.topic = source.topic();
        this.listener = listener;
        this.timers = timers;
        this.millis = millis;
        this.schedule = source.schedule();
        this.retryMillis = schedule.retryMillis();
        this.onRead = onRead;
        this.onLate = onLate;
        this.failures = failures;
        this.loop = "store." + topic.name().toLowerCase(Locale.ROOT);
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

    /**
     * Gets the epoch of the store from which the known content was read.
     *
     * @return the epoch; 0 before the first snapshot
     */
    public synchronized long getEra() {
        return era;
    }

    /**
     * Gets the position of this follower without records.
     *
     * @return the position; empty before the first snapshot, and after a rollback until its snapshot has been read
     */
    public synchronized Optional<TopicUpdate> findPosition() {
        return snapshotKnown && !newerEra
                ? Optional.of(new TopicUpdate(topic, nextOffset, nextOffset, List.of(), getAgeMillis(), era))
                : Optional.empty();
    }

    /**
     * Gets the position of this follower unless it is too old for others to rely on.
     *
     * @return the position
     */
    public Optional<TopicUpdate> findCurrentPosition() {
        return findPosition().filter(p -> p.ageMillis() <= schedule.overdueMillis());
    }

    /**
     * Finds what a node needs whose position is too old.
     *
     * @param position the position of the other node
     * @return the changes since; empty if the position is not too old, or this node knows nothing newer or not all changes since
     */
    public synchronized Optional<TopicUpdate> findUpdateFor(TopicUpdate position) {
        long from = position.to();
        boolean needed = position.ageMillis() > schedule.overdueMillis() && position.era() == era;
        if (!needed || from < recentFrom || from > nextOffset) {
            return Optional.empty();
        }
        return findCurrentPosition()
                .map(own -> new TopicUpdate(
                        topic,
                        from,
                        own.to(),
                        recentChanges.stream().filter(c -> c.offset() >= from).toList(),
                        own.ageMillis(),
                        era));
    }

    /**
     * Reads a snapshot at once if the epoch of the store is newer than the known one and was not heard of before.
     *
     * @param storeEra the epoch that another node, or another follower of this node, knows
     */
    public void observeEra(long storeEra) {
        synchronized (this) {
            if (!snapshotKnown || storeEra <= Math.max(era, observedEra)) {
                return;
            }
        }
        results.execute(failures.guard(loop, () -> expectEra(storeEra)));
    }

    private void expectEra(long storeEra) {
        synchronized (this) {
            if (!snapshotKnown || storeEra <= Math.max(era, observedEra)) {
                return;
            }
            startRollback(storeEra);
            catchingUp = true;
            generation++;
        }
        sendRead(0);
    }

    private void startRollback(long newEra) {
        LOG.log(
                Level.WARNING,
                "event=store_rollback topic={0} era={1} new_era={2} offset={3}",
                topic,
                Long.toString(era),
                Long.toString(newEra),
                Long.toString(nextOffset));
        observedEra = newEra;
        newerEra = true;
        nextOffset = -1;
    }

    /**
     * Applies what another node has read. Reads the store at once if records are missing in between.
     *
     * @param update the update
     */
    public void applyUpdate(TopicUpdate update) {
        long received = millis.getAsLong();
        results.execute(failures.guard(loop, () -> applyUpdate(update, received, true)));
    }

    /**
     * Applies what another node has read if the own reads of this node are late, and goes on reading. Does nothing if records
     * are missing in between.
     *
     * @param update the update
     */
    public void applyUpdateIfLate(TopicUpdate update) {
        long received = millis.getAsLong();
        results.execute(failures.guard(loop, () -> {
            if (isLate()) {
                applyUpdate(update, received, false);
            }
        }));
    }

    private synchronized boolean isLate() {
        return late;
    }

    private void applyUpdate(TopicUpdate update, long received, boolean relies) {
        if (update.era() > getEra()) {
            observeEra(update.era());
            return;
        }
        if (listener.needsOwnReads()) {
            return;
        }
        boolean isGap;
        boolean goesOnReading;
        synchronized (this) {
            if (!snapshotKnown || update.ageMillis() > schedule.overdueMillis()) {
                return;
            }
            if (update.era() < era || newerEra) {
                return;
            }
            boolean mustRead = refreshing || catchingUp;
            if (mustRead && !late) {
                return;
            }
            goesOnReading = mustRead || !relies;
            isGap = update.from() > nextOffset;
            if (isGap && goesOnReading) {
                return;
            }
            if (isGap) {
                LOG.log(
                        Level.INFO,
                        "event=store_updates topic={0} outcome=gap known={1} from={2}",
                        topic,
                        Long.toString(nextOffset),
                        Long.toString(update.from()));
                catchingUp = true;
                generation++;
            }
        }
        if (isGap) {
            sendRead(0);
            return;
        }
        List<KeyedRecord> changes = applyRecords(update.records(), update.to(), ReadGap.Source.PEER, !goesOnReading);
        Optional<TopicUpdate> news = Optional.empty();
        synchronized (this) {
            keepChanges(changes);
            if (goesOnReading && update.to() > nextOffset) {
                // Nodes that rely on this one must learn of the changes before its next position, or would read them.
                news = Optional.of(
                        new TopicUpdate(topic, nextOffset, update.to(), changes, update.ageMillis(), update.era()));
            }
            nextOffset = Math.max(nextOffset, update.to());
            lastSuccessMillis = Math.max(lastSuccessMillis, received - update.ageMillis());
            if (!goesOnReading) {
                relyOnUpdates(update, received);
            }
        }
        news.ifPresent(n -> failures.run(loop, () -> onRead.accept(n)));
    }

    private void relyOnUpdates(TopicUpdate update, long received) {
        late = false;
        if (updatedUntilMillis < received) {
            LOG.log(Level.INFO, "event=store_updates topic={0} outcome=relying_on_peers", topic);
        }
        updatedUntilMillis = Math.max(
                updatedUntilMillis,
                received + Math.min(UPDATE_TIMEOUT_MILLIS, schedule.overdueMillis() - update.ageMillis()));
    }

    /** Keeps changes of a topic with hedged reads, whose followers may ask for them. */
    private void keepChanges(List<KeyedRecord> changes) {
        if (!schedule.isHedged()) {
            recentFrom = Long.MAX_VALUE;
            return;
        }
        recentChanges.addAll(changes);
        while (recentChanges.size() > MAX_RECENT_CHANGES) {
            recentFrom = Math.max(recentFrom, recentChanges.remove().offset() + 1);
        }
    }

    /** Gets the time for which the follower relies on the updates of other nodes; 0 if it must read itself. */
    private long getUpdatedMillis() {
        long now = millis.getAsLong();
        boolean relies = nextOffset >= 0 && !refreshing && now < updatedUntilMillis;
        return relies ? updatedUntilMillis - now : 0;
    }

    private void sendRead(long wait) {
        long current;
        long newRound;
        synchronized (this) {
            current = generation;
            newRound = ++round;
            pendingReads = 0;
        }
        sendRead(current, newRound, wait, 0);
    }

    private void sendRead(long current, long ofRound, long wait, int hedgedReads) {
        long from;
        long responseMillis;
        Optional<Long> hedgeMillis;
        synchronized (this) {
            if (current != generation || ofRound != round) {
                return;
            }
            pendingReads++;
            from = nextOffset;
            responseMillis = slowStore || failedReads >= SLOW_STORE_FAILURES
                    ? schedule.slowResponseMillis()
                    : schedule.responseMillis();
            hedgeMillis = hedgedReads < MAX_HEDGED_READS ? findHedgeMillis() : Optional.empty();
        }
        boolean isSnapshot = from < 0;
        long start = millis.getAsLong();
        CompletionStage<RecordBatch> batch = failures.call(
                loop,
                () -> isSnapshot ? store.readSnapshot(topic) : store.readChanges(topic, from, wait, responseMillis));
        batch.whenComplete((result, failure) -> {
            long received = millis.getAsLong();
            results.execute(() -> {
                if (failure != null) {
                    handleReadFailure(current, ofRound, Failures.unwrap(failure));
                } else if (!failures.run(
                        loop, () -> apply(current, ofRound, result, isSnapshot, wait, received - start, received))) {
                    handleFailure(current, new IllegalStateException("the result could not be applied"));
                }
            });
        });
        hedgeMillis.ifPresent(m -> timers.schedule(
                () -> sendHedgedRead(current, ofRound, hedgedReads + 1), wait + m, TimeUnit.MILLISECONDS));
    }

    /** Finds the time beyond its wait after which a read that is sent now is late; empty if no other is sent beside it. */
    private Optional<Long> findHedgeMillis() {
        long delay = Math.max(schedule.hedgeMillis(), USUAL_RESPONSE_FACTOR * usualResponseMillis);
        boolean hedged = nextOffset >= 0 && failedReads == 0 && !slowStore && delay < schedule.responseMillis();
        return hedged ? Optional.of(delay) : Optional.empty();
    }

    private void sendHedgedRead(long current, long ofRound, int hedgedRead) {
        boolean asks;
        synchronized (this) {
            if (current != generation || ofRound != round || getUpdatedMillis() > 0) {
                return;
            }
            asks = markLate();
        }
        LOG.log(
                Level.INFO,
                "event=store_read_late topic={0} hedged_read={1} age_millis={2}",
                topic,
                hedgedRead,
                Long.toString(getAgeMillis()));
        if (asks) {
            askOthers();
        }
        sendRead(current, ofRound, 0, hedgedRead);
    }

    /** Records that the store has not responded in time, and returns whether to begin to ask other nodes. */
    private synchronized boolean markLate() {
        late = true;
        boolean begins = schedule.isHedged() && !asking;
        asking |= begins;
        return begins;
    }

    /** Tells other nodes of the position until this node has read itself or relies on others. */
    private void askOthers() {
        synchronized (this) {
            asking = late;
            if (!asking) {
                return;
            }
        }
        // Others take a position that is not too old for an update.
        failures.run(
                loop,
                () -> findPosition()
                        .filter(p -> p.ageMillis() > schedule.overdueMillis())
                        .ifPresent(onLate));
        boolean goesOn = failures.run(
                loop, () -> timers.schedule(this::askOthers, schedule.intervalMillis(), TimeUnit.MILLISECONDS));
        if (!goesOn) {
            // The next late read asks again.
            synchronized (this) {
                asking = false;
            }
        }
    }

    /** Applies the result of a read. Runs as a task of {@link #results}, without the lock while listeners are called. */
    private void apply(
            long current, long ofRound, RecordBatch batch, boolean isSnapshot, long wait, long elapsed, long received) {
        long from;
        boolean isRollback;
        boolean isOlderEra;
        synchronized (this) {
            if (current != generation || ofRound != round) {
                return;
            }
            from = nextOffset;
            // A node that starts in a later epoch cannot tell how long ago the rollback was.
            isRollback = batch.era() > era;
            isOlderEra = snapshotKnown && batch.era() < era;
            if (isRollback && snapshotKnown && !newerEra) {
                startRollback(batch.era());
            }
            if (isSnapshot && !isOlderEra) {
                era = batch.era();
            }
        }
        if (isOlderEra) {
            handleReadFailure(current, ofRound, new IOException("a response of the older epoch " + batch.era()));
            return;
        }
        if (isRollback && !isSnapshot) {
            sendRead(0);
            return;
        }
        List<KeyedRecord> changes = List.of();
        if (isRollback) {
            restore(batch);
        } else {
            boolean outdated = isSnapshot && batch.nextOffset() < getHighestOffset();
            changes = applyRecords(batch.records(), batch.nextOffset(), ReadGap.Source.STORE, true);
            if (isSnapshot && !outdated) {
                Set<String> keys = getKeys(batch);
                failures.run(loop, () -> listener.onSnapshot(keys));
            }
        }
        CompletableFuture<Void> refresh;
        TopicUpdate update;
        synchronized (this) {
            nextOffset = Math.max(nextOffset, batch.nextOffset());
            if (isSnapshot) {
                recentChanges.clear();
                recentFrom = nextOffset;
            }
            keepChanges(changes);
            // The age counts from the response, because the listener may have taken time.
            lastSuccessMillis = Math.max(lastSuccessMillis, received);
            snapshotKnown = true;
            newerEra &= !isSnapshot;
            if (current != generation) {
                // A refresh that began meanwhile has sent its own read.
                return;
            }
            retryMillis = schedule.retryMillis();
            failedReads = 0;
            late = false;
            round++;
            if (!isSnapshot && elapsed >= wait) {
                usualResponseMillis = elapsed - wait;
            }
            slowStore = !isSnapshot && elapsed > wait + schedule.responseMillis();
            refreshing = false;
            catchingUp = false;
            refresh = nextRefresh;
            update = isSnapshot
                    ? new TopicUpdate(topic, nextOffset, nextOffset, List.of(), 0, era)
                    : new TopicUpdate(topic, from, nextOffset, changes, 0, era);
        }
        refresh.complete(null);
        failures.run(loop, () -> onRead.accept(update));
        scheduleRead(current, isSnapshot ? 0 : Math.max(0, schedule.intervalMillis() - elapsed));
    }

    /**
     * Tells the listener of the records that are newer than the known ones. A record that the listener cannot handle does not
     * stop the others.
     *
     * @return the records that other nodes must learn: those that do more than renew an entry, and those that this node knows
     *     from a later page of a snapshot
     */
    private List<KeyedRecord> applyRecords(
            List<KeyedRecord> records, long end, ReadGap.Source source, boolean endsOutage) {
        notifyRead(end, source, endsOutage);
        List<KeyedRecord> changes = new ArrayList<>();
        for (KeyedRecord change : records) {
            boolean isNew = change.offset() > offsets.getOrDefault(change.key(), -1L);
            if (!isNew || apply(change)) {
                changes.add(change);
            }
        }
        return changes;
    }

    /** Lets the listener compare the first snapshot after a rollback with what is known. Offsets are assigned again. */
    private void restore(RecordBatch batch) {
        notifyRead(batch.nextOffset(), ReadGap.Source.STORE, true);
        offsets.clear();
        Set<String> keys = getKeys(batch);
        LOG.log(
                Level.INFO,
                "event=store_restored topic={0} era={1} offset={2} entries={3}",
                topic,
                Long.toString(batch.era()),
                Long.toString(batch.nextOffset()),
                Integer.toString(keys.size()));
        failures.run(loop, () -> listener.onRollback(keys));
        for (KeyedRecord entry : batch.records()) {
            offsets.put(entry.key(), entry.offset());
            failures.run(loop, () -> listener.onRestored(entry));
        }
    }

    private static Set<String> getKeys(RecordBatch batch) {
        return batch.records().stream().map(KeyedRecord::key).collect(Collectors.toSet());
    }

    private void notifyRead(long end, ReadGap.Source source, boolean endsOutage) {
        ReadGap gap;
        synchronized (this) {
            gap = new ReadGap(snapshotKnown ? getAgeMillis() : 0, source);
            if (inOutage && endsOutage) {
                LOG.log(Level.INFO, "event=store_regained topic={0} offset={1}", topic, Long.toString(end));
                inOutage = false;
            }
        }
        failures.run(loop, () -> listener.onRead(gap));
    }

    /** Tells the listener of a record, and returns false if it only renews an entry. */
    private boolean apply(KeyedRecord change) {
        offsets.put(change.key(), change.offset());
        try {
            return listener.onChange(change);
        } catch (RuntimeException | Error e) {
            failures.record(loop, e);
            return true;
        }
    }

    private long getHighestOffset() {
        return offsets.values().stream().mapToLong(o -> o).max().orElse(-1);
    }

    /** Handles a read without a result. Those of the same round may still have one. */
    private void handleReadFailure(long current, long ofRound, Throwable failure) {
        synchronized (this) {
            if (current != generation || ofRound != round) {
                return;
            }
            pendingReads--;
            if (pendingReads > 0 && !(failure instanceof HistoryLostException)) {
                return;
            }
        }
        handleFailure(current, failure);
    }

    private void handleFailure(long current, Throwable failure) {
        long delay;
        synchronized (this) {
            if (current != generation) {
                return;
            }
            round++;
            if (failure instanceof HistoryLostException) {
                LOG.log(Level.INFO, "event=history_lost topic={0} offset={1}", topic, Long.toString(nextOffset));
                nextOffset = -1;
                delay = 0;
            } else {
                if (!inOutage) {
                    LOG.log(Level.WARNING, "event=store_lost topic={0} reason=\"{1}\"", topic, failure.getMessage());
                }
                inOutage = true;
                failedReads++;
                catchingUp = false;
                delay = retryMillis;
                retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
            }
        }
        if (!(failure instanceof HistoryLostException) && markLate()) {
            askOthers();
        }
        scheduleRead(current, delay);
    }

    private void scheduleRead(long current, long delay) {
        timers.schedule(() -> readAgain(current), delay, TimeUnit.MILLISECONDS);
    }

    private void readAgain(long current) {
        boolean needsOwnReads = listener.needsOwnReads();
        boolean stillCurrent;
        long wait;
        long updatedMillis;
        synchronized (this) {
            stillCurrent = current == generation;
            wait = inOutage || slowStore ? 0 : schedule.getWaitMillis(getAgeMillis());
            updatedMillis = needsOwnReads ? 0 : getUpdatedMillis();
        }
        if (stillCurrent && updatedMillis > 0) {
            scheduleRead(current, updatedMillis);
        } else if (stillCurrent) {
            sendRead(wait);
        }
    }
}
