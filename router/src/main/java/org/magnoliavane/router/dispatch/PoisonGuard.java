package org.magnoliavane.router.dispatch;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import net.openhft.hashing.LongHashFunction;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.poison.CrashEvidence;
import org.magnoliavane.poison.PoisonDecision;
import org.magnoliavane.poison.PoisonDetector;
import org.magnoliavane.poison.RequestFeatures;

/**
 * Keeps requests that crash workers away from them: passes what happens to requests at workers to the detector, and checks the
 * requests that are under way again whenever a feature is convicted.
 *
 * <p>Thread-safe.
 */
public final class PoisonGuard {
    private static final Logger LOG = System.getLogger(PoisonGuard.class.getName());
    private static final String THIS_NODE = "this node";
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final PoisonDetector detector;
    private final WorkerEndDetector endDetector;
    private final ScheduledExecutorService timers;
    private final LongSupplier clockMillis;
    private final Runnable onEvidence;
    private final Set<RequestExecution> active = ConcurrentHashMap.newKeySet();

    /**
     * Creates a guard.
     *
     * @param detector infers which features crash workers
     * @param endDetector finds out whether workers have ended
     * @param timers checks the requests that are under way
     * @param clockMillis a monotonic clock, in milliseconds
     * @param onEvidence called when this node has seen a crash, to tell the other nodes
     */
    public PoisonGuard(
            PoisonDetector detector,
            WorkerEndDetector endDetector,
            ScheduledExecutorService timers,
            LongSupplier clockMillis,
            Runnable onEvidence) {
        this.detector = detector;
        this.endDetector = endDetector;
        this.timers = timers;
        this.clockMillis = clockMillis;
        this.onEvidence = onEvidence;
    }

    /** Gets the features of a request; equal for requests that differ only in their attempt. */
    static RequestFeatures getFeatures(CallerRequest request) {
        long content = HASH.hashBytes(request.body()) * 31 + HASH.hashChars(request.method() + " " + request.target());
        return new RequestFeatures(content, request.metadata().sharedParts());
    }

    /**
     * Gets the evidence to report to other nodes.
     *
     * @param limit the largest number of features
     * @return the evidence, the most important first
     */
    public List<CrashEvidence> getReport(int limit) {
        return detector.getReport(limit, clockMillis.getAsLong());
    }

    /**
     * Merges the evidence of another node.
     *
     * @param evidence the evidence
     * @param node the name of the node
     */
    public void merge(CrashEvidence evidence, String node) {
        handleConvictions(detector.merge(evidence, clockMillis.getAsLong()), node);
        logCleared(node);
    }

    void add(RequestExecution execution) {
        active.add(execution);
    }

    void remove(RequestExecution execution) {
        active.remove(execution);
    }

    /** Calls a task with each request that is under way. */
    void forEachActive(Consumer<RequestExecution> task) {
        active.forEach(task);
    }

    PoisonDecision decide(RequestFeatures request) {
        return detector.decide(request, clockMillis.getAsLong());
    }

    boolean isConvicted(RequestFeatures request) {
        return detector.isConvicted(request);
    }

    void endTrial(RequestFeatures request) {
        detector.endTrial(request);
    }

    void recordProgress(RequestFeatures request) {
        detector.recordProgress(request, clockMillis.getAsLong());
        logCleared(THIS_NODE);
    }

    void recordAnswer(RequestFeatures request) {
        detector.recordAnswer(request, clockMillis.getAsLong());
        logCleared(THIS_NODE);
    }

    /**
     * Records that a request broke off at a worker.
     *
     * @param pastBeginning whether its answer had got past its beginning
     * @param closedByWorker whether the worker's host closed or reset the connection
     */
    void recordBroken(RequestFeatures request, ListedWorker worker, boolean pastBeginning, boolean closedByWorker) {
        if (closedByWorker) {
            handleConvictions(detector.recordBroken(request, getCrashId(worker), clockMillis.getAsLong()), THIS_NODE);
        }
        endDetector.checkEnded(worker, closedByWorker).thenAccept(ended -> {
            if (ended) {
                recordCrash(request, worker, pastBeginning);
            }
        });
    }

    private void recordCrash(RequestFeatures request, ListedWorker worker, boolean pastBeginning) {
        handleConvictions(
                detector.recordCrash(request, getCrashId(worker), pastBeginning, clockMillis.getAsLong()), THIS_NODE);
        onEvidence.run();
    }

    private static long getCrashId(ListedWorker worker) {
        return HASH.hashChars(WorkerEndDetector.getProcessId(worker));
    }

    private void handleConvictions(List<Long> convicted, String source) {
        if (convicted.isEmpty()) {
            return;
        }
        convicted.forEach(feature -> LOG.log(
                Level.WARNING, "event=poison_convicted feature={0} from={1}", Long.toHexString(feature), source));
        // On another thread, because the caller may hold the lock of a queue.
        timers.execute(() -> forEachActive(RequestExecution::handleConviction));
    }

    private void logCleared(String source) {
        for (long feature : detector.takeCleared()) {
            LOG.log(Level.INFO, "event=poison_cleared feature={0} from={1}", Long.toHexString(feature), source);
        }
    }
}
