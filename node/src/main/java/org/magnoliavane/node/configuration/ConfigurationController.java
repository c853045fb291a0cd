package org.magnoliavane.node.configuration;

import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

import org.magnoliavane.config.AcceptedConfiguration;
import org.magnoliavane.config.Configuration;
import org.magnoliavane.config.ConfigurationLogState;
import org.magnoliavane.config.ConfigurationRecord;
import org.magnoliavane.config.RecordCounts;
import org.magnoliavane.config.RecordOutcome;
import org.magnoliavane.config.StreamRecord;
import org.magnoliavane.node.log.LogPage;
import org.magnoliavane.node.log.LogRecord;
import org.magnoliavane.node.log.LogService;

/**
 * Keeps the configuration in force up to date. Polls the stream {@code configuration}, accepts versions from peers, and
 * appends the current version as a snapshot before retention removes the records that a new node needs. While the log
 * service cannot be reached, the last known version stays in force.
 *
 * <p>Thread-safe.
 */
public final class ConfigurationController implements ConfigurationExchange, Supplier<Configuration>, AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(ConfigurationController.class.getName());
    private static final int PAGE_RECORDS = 50;
    // Bounds a poll on an unresponsive connection, so that a change is still in force within 3 s.
    private static final long MAX_POLL_WAIT_MILLIS = 1000;
    private static final long READ_TIMEOUT_MILLIS = 60_000;
    // Bounds the rate of polls when the log service responds with an empty page without waiting.
    private static final long EMPTY_PAGE_PAUSE_MILLIS = 100;

    private final LogService log;
    private final RandomGenerator random;
    private final Backoff backoff;
    private final SnapshotSchedule snapshots;
    private final AtomicReference<ConfigurationLogState> logState =
            new AtomicReference<>(ConfigurationLogState.initial());
    private final AtomicReference<Configuration> current = new AtomicReference<>(Configuration.empty());
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private final Thread thread = new Thread(this::run, "configuration");
    private volatile Optional<ConfigurationVersion> versionInForce = Optional.empty();
    private volatile boolean closed;
    private volatile boolean logReachable = true;

    /**
     * Creates a controller, which does not poll the stream until {@link #start} is called.
     *
     * @param log the log service
     * @param logRetentionMillis the time for which the log service keeps a record, in milliseconds
     * @param random the source of random delays
     */
    public ConfigurationController(LogService log, long logRetentionMillis, RandomGenerator random) {
        this.log = log;
        this.random = random;
        backoff = new Backoff(random);
        snapshots = new SnapshotSchedule(logRetentionMillis, random, nowMillis());
        thread.setDaemon(true);
    }

    /** Starts polling the stream on a thread of its own. */
    public void start() {
        thread.start();
    }

    /**
     * Adds a listener for the versions that come into force from now on, in ascending order. A version that is read
     * together with its successor is skipped. The listener must return soon and must not block.
     *
     * @param listener the listener, which is called while the lock of this controller is held
     */
    public void addListener(Consumer<Configuration> listener) {
        listeners.add(listener);
    }

    @Override
    public Configuration get() {
        return current.get();
    }

    @Override
    public Optional<ConfigurationVersion> findCurrent() {
        ConfigurationLogState state = logState.get();
        Optional<ConfigurationVersion> inForce = versionInForce;
        return state.getVersion() == inForce.map(ConfigurationVersion::version).orElse(0L) ? toVersion(state) : inForce;
    }

    @Override
    public void offer(ConfigurationVersion offered) {
        updateState(state -> state.withPeerState(offered.version(), offered.offset(), offered.text()), Long.MIN_VALUE);
    }

    /**
     * Gets the number of records of the stream for each outcome.
     *
     * @return the counts since the start
     */
    public RecordCounts getCounts() {
        return logState.get().getCounts();
    }

    /**
     * Returns whether the version in force reflects every record up to the last one that was read.
     *
     * @return false while records are missing because retention removed them before they were read
     */
    public boolean isComplete() {
        return logState.get().isComplete();
    }

    /**
     * Returns whether the last read of the stream succeeded.
     *
     * @return false during an outage of the log service
     */
    public boolean isLogReachable() {
        return logReachable;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        while (!closed) {
            try {
                pollStream();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void pollStream() throws InterruptedException {
        try {
            long startMillis = nowMillis();
            LogPage page = readPage();
            applyPage(page);
            recordReadSuccess();
            appendSnapshotWhenDue();
            if (page.records().isEmpty() && nowMillis() - startMillis < EMPTY_PAGE_PAUSE_MILLIS) {
                Thread.sleep(EMPTY_PAGE_PAUSE_MILLIS);
            }
        } catch (ExecutionException | TimeoutException | RuntimeException e) {
            recordReadFailure(e instanceof ExecutionException ? e.getCause() : e);
            Thread.sleep(backoff.nextDelayMillis());
        }
    }

    private LogPage readPage() throws InterruptedException, ExecutionException, TimeoutException {
        // A new record ends the polls of all nodes at once; without a random wait they would poll in lockstep from then
        // on.
        long wait = MAX_POLL_WAIT_MILLIS / 2 + random.nextLong(MAX_POLL_WAIT_MILLIS / 2);
        return log.read(ConfigurationRecord.STREAM, logState.get().getNextOffset(), PAGE_RECORDS, wait)
                .toCompletableFuture()
                .get(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void applyPage(LogPage page) {
        List<StreamRecord> records = page.records().stream()
                .map(r -> new StreamRecord(r.offset(), r.data()))
                .toList();
        for (LogRecord record : page.records()) {
            snapshots.addRecord(record.offset(), record.timestampMillis(), nowMillis(), System.currentTimeMillis());
        }
        boolean wasComplete = isComplete();
        updateState(state -> state.withPage(page.firstOffset(), records, this::recordOutcome), page.nextOffset());
        if (wasComplete && !isComplete()) {
            LOGGER.log(
                    Level.WARNING,
                    "configuration records before offset " + page.firstOffset()
                            + " were removed by retention before they were read; waiting for a snapshot or a peer");
        }
    }

    /**
     * Updates the state of the log, and puts its version into force once every record before an end offset has been
     * applied. Otherwise a node that reads a long history page by page would put each outdated version into force. Pages
     * and versions of peers arrive on different threads; the lock keeps versions and notifications in order.
     */
    private synchronized void updateState(UnaryOperator<ConfigurationLogState> change, long endOffset) {
        ConfigurationLogState before = logState.get();
        ConfigurationLogState after = change.apply(before);
        logState.set(after);
        if (after == before || after.getVersion() <= get().version() || after.getNextOffset() < endOffset) {
            return;
        }
        versionInForce = toVersion(after);
        Configuration next =
                after.findCurrent().map(AcceptedConfiguration::configuration).orElseThrow();
        current.set(next);
        LOGGER.log(Level.INFO, "configuration version " + next.version() + " is in force");
        listeners.forEach(listener -> notifyListener(listener, next));
    }

    private static void notifyListener(Consumer<Configuration> listener, Configuration next) {
        try {
            listener.accept(next);
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "a listener of the configuration failed at version " + next.version(), e);
        }
    }

    private static Optional<ConfigurationVersion> toVersion(ConfigurationLogState state) {
        return state.findCurrent()
                .map(c -> new ConfigurationVersion(c.configuration().version(), state.getAppliedOffset(), c.text()));
    }

    private void recordOutcome(RecordOutcome outcome) {
        boolean failed =
                outcome.kind() == RecordOutcome.Kind.REJECTED || outcome.kind() == RecordOutcome.Kind.UNREADABLE;
        LOGGER.log(failed ? Level.WARNING : Level.DEBUG, outcome.toString());
        if (outcome.kind() == RecordOutcome.Kind.SNAPSHOT
                && outcome.record().orElse(null) instanceof ConfigurationRecord.Snapshot snapshot) {
            snapshots.addSnapshot(snapshot.asOf(), nowMillis(), System.currentTimeMillis());
        }
    }

    private void appendSnapshotWhenDue() {
        ConfigurationLogState state = logState.get();
        Optional<AcceptedConfiguration> accepted = state.findCurrent();
        if (accepted.isEmpty() || !state.isComplete() || !snapshots.isDue(nowMillis())) {
            return;
        }
        snapshots.addAppendAttempt(nowMillis());
        long asOf = state.getAppliedOffset() - 1;
        byte[] record = new ConfigurationRecord.Snapshot(
                        state.getVersion(), asOf, accepted.get().text())
                .toBytes();
        // A failed append may have taken effect; reading the stream shows whether it has.
        log.append(ConfigurationRecord.STREAM, record).whenComplete((offset, cause) -> {
            String snapshot = "snapshot of configuration version " + state.getVersion() + " as of offset " + asOf;
            if (cause == null) {
                LOGGER.log(Level.INFO, snapshot + " appended at offset " + offset);
            } else {
                LOGGER.log(Level.WARNING, snapshot + " failed: " + cause.getMessage());
            }
        });
    }

    private void recordReadSuccess() {
        backoff.reset();
        if (!logReachable) {
            logReachable = true;
            LOGGER.log(Level.INFO, "log service is reachable again; configuration " + logState.get());
        }
    }

    private void recordReadFailure(Throwable cause) {
        if (logReachable) {
            logReachable = false;
            LOGGER.log(
                    Level.WARNING,
                    "configuration stream cannot be read; " + logState.get() + " stays in force: "
                            + cause.getMessage());
        }
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }
}
