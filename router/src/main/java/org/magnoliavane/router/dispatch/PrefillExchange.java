package org.magnoliavane.router.dispatch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.routing.EngineProfile;

/**
 * Runs the prefill of a streamed request at a worker, for a decode worker that has been chosen before. Meanwhile the request
 * counts towards the load of the decode worker. A request may have several prefills, one after the other.
 *
 * <p>The threads of the admission queue call {@link #mustQueue}, which may read an outdated state there; the worker is chosen again
 * on the executor. {@link #maySend} is called on any thread. Everything else runs on the executor of the request.
 */
final class PrefillExchange implements WorkerExchange.Listener {
    /** Multiple of the expected duration of a prefill after which its worker is considered failed. */
    private static final int PREFILL_TIMEOUT_FACTOR = 3;

    /** Additional time for a prefill, because requests of other nodes may not be known yet. */
    private static final long PREFILL_TIMEOUT_MARGIN_MILLIS = 600;

    /** Largest number of prefills of a request; after that the decode worker runs the prefill itself. */
    private static final int MAX_PREFILLS = 2;

    /** Largest response to a prefill, which has only a handle; a faulty worker may send bytes without end. */
    private static final int MAX_PREFILL_RESPONSE_BYTES = 64 << 10;

    /** Receives the results. */
    interface Listener {
        /** Returns whether a prefill may start; ends the request otherwise. */
        boolean mayProceed();

        /** Returns whether the request may still be sent; called on any thread when the connection is established. */
        boolean maySend();

        /** Called when a worker has sent bytes that are buffered. */
        void onBuffered(WorkerExchange exchange);

        /** Called when the prefill is done, with the worker for the decode; empty if none has capacity. */
        void onPrefilled(Optional<ListedWorker> decodeWorker);

        /** Called when the prefill has failed. Its worker is excluded. */
        void onPrefillFailed();
    }

    private final RequestScope scope;
    private final DispatchContext context;
    private final CallerRequest request;
    private final GenerationSize generationSize;
    private final StreamWorkers workers;
    private final RelayedStream stream;
    private final PrefilledPrompt prompt;
    private final Listener listener;

    private Optional<ListedWorker> plannedDecodeWorker = Optional.empty();
    private Optional<WorkerExchange> activePrefill = Optional.empty();
    private Optional<PrefillSlot> prefillSlotRequest = Optional.empty();
    private ReservationService.Reservation prefillSlot = () -> {};
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int prefills;

    /** Whether the worker of the latest prefill had no other tokens as far as known, so that its time shows its speed. */
    private boolean workerWasIdle;

    PrefillExchange(
            RequestScope scope,
            GenerationSize generationSize,
            StreamWorkers workers,
            RelayedStream stream,
            PrefilledPrompt prompt,
            Listener listener) {
        this.scope = scope;
        this.context = scope.context();
        this.request = scope.request();
        this.generationSize = generationSize;
        this.workers = workers;
        this.stream = stream;
        this.prompt = prompt;
        this.listener = listener;
    }

    /** Estimates how long the prefill takes at a worker of mean speed, in milliseconds. */
    long estimateMillis() {
        return (long) context.loadTracker().getSpeeds().getMeanPrefillMillis(scope.service(), getTokens());
    }

    private int getTokens() {
        return generationSize.promptTokens();
    }

    /** Returns whether a prefill was sent to a worker, or may have been. */
    boolean hasBeenSent() {
        return prefills > 0;
    }

    /** Returns whether a worker is running the prefill. */
    boolean isActive() {
        return activePrefill.isPresent();
    }

    /** Returns whether an exchange is the one that runs the prefill. */
    boolean isActive(WorkerExchange exchange) {
        return activePrefill.filter(p -> p == exchange).isPresent();
    }

    /** Gets the number of bytes that are buffered of the latest response. */
    int getBufferedBytes() {
        return body.size();
    }

    /** Returns whether the prefill for a decode worker would have to wait behind too many others. */
    boolean mustQueue(ListedWorker decodeWorker) {
        Optional<ListedWorker> worker = chooseWorker(decodeWorker);
        return worker.isPresent()
                && context.loadTracker().countTokens(worker.get().id(), scope.now()) > StreamTimes.MAX_QUEUED_TOKENS;
    }

    /** Chooses a worker for the prefill; empty if none is needed, or if the decode worker has to run it itself. */
    Optional<ListedWorker> chooseWorker(ListedWorker decodeWorker) {
        return chooseWorker(decodeWorker, Set.of());
    }

    private Optional<ListedWorker> chooseWorker(ListedWorker decodeWorker, Set<String> asked) {
        boolean prefilled = prompt.findPrefillWorker().isPresent() || prefills >= MAX_PREFILLS || getTokens() == 0;
        return prefilled ? Optional.empty() : workers.choosePrefill(decodeWorker, asked);
    }

    /**
     * Starts the prefill, after a wait for a slot of a prefill worker in a fleet whose reports are too old to find a free one.
     *
     * @param decodeWorker the worker for the decode
     * @param first the worker that is asked first for the prefill
     */
    void start(ListedWorker decodeWorker, ListedWorker first) {
        addPlannedLoad(decodeWorker);
        if (!context.workerSelector().hasOldReports(scope.now())) {
            send(first);
            return;
        }
        prefillSlotRequest = Optional.of(PrefillSlot.request(
                context,
                scope.executor(),
                first,
                estimateMillis(),
                request,
                asked -> chooseWorker(decodeWorker, asked),
                (worker, slot) -> {
                    prefillSlotRequest = Optional.empty();
                    prefillSlot = slot;
                    send(worker);
                }));
    }

    private void send(ListedWorker worker) {
        if (!listener.mayProceed()) {
            return;
        }
        prefills++;
        body = new ByteArrayOutputStream();
        int queued = context.loadTracker().countTokens(worker.id(), scope.now());
        long expectedMillis = (long) context.loadTracker()
                .getSpeeds()
                .getPrefillMillis(scope.service(), worker.id(), queued + getTokens(), scope.now());
        workerWasIdle = queued == 0;
        scope.logChoice(
                "prefill",
                worker,
                "queued_tokens=" + queued + " tokens=" + getTokens() + " expected_millis=" + expectedMillis + " parts="
                        + request.metadata().formatSharedParts());
        WorkerRequest workerRequest = new WorkerRequest(
                worker, scope.getRemainingMillis(), true, Optional.empty(), Optional.empty(), stream.findLastEventId());
        WorkerExchange exchange =
                WorkerExchange.start(context, request, workerRequest, getTokens(), scope.executor(), this);
        activePrefill = Optional.of(exchange);
        scope.schedule(PREFILL_TIMEOUT_FACTOR * expectedMillis + PREFILL_TIMEOUT_MARGIN_MILLIS, () -> {
            if (isActive(exchange)) {
                scope.log(
                        "prefill_silent",
                        exchange,
                        "millis=" + exchange.getAgeMillis() + " expected=" + expectedMillis);
                exchange.cancelAsUnresponsive();
                handleFailure(exchange);
            }
        });
    }

    /** Ends the prefill without a result. The listener is not called any more. */
    void cancel() {
        prefillSlotRequest.ifPresent(PrefillSlot::withdraw);
        prefillSlotRequest = Optional.empty();
        activePrefill.ifPresent(WorkerExchange::cancel);
        endExchange();
        removePlannedLoad();
    }

    private void endExchange() {
        activePrefill = Optional.empty();
        prefillSlot.release();
    }

    private void handleFailure(WorkerExchange exchange) {
        endExchange();
        scope.excludedWorkers().add(exchange.getWorker().id());
        removePlannedLoad();
        listener.onPrefillFailed();
    }

    @Override
    public boolean maySend() {
        return listener.maySend();
    }

    @Override
    public void onHead(WorkerExchange exchange, int status, Map<String, String> headers) {
        if (status != 200) {
            scope.log("prefill_error", exchange, "status=" + status);
            exchange.cancel();
            handleFailure(exchange);
        }
    }

    @Override
    public void onBytes(WorkerExchange exchange, byte[] bytes) {
        body.writeBytes(bytes);
        if (body.size() > MAX_PREFILL_RESPONSE_BYTES) {
            exchange.breakOff("the response to a prefill is larger than " + MAX_PREFILL_RESPONSE_BYTES + " bytes");
        }
        listener.onBuffered(exchange);
    }

    @Override
    public void onEnd(WorkerExchange exchange) {
        endExchange();
        try {
            CacheHandle handle = context.wireFormat().readCacheHandle(exchange.getWorkerRequest(), body.toByteArray());
            long retentionMillis =
                    workers.findEngine().map(EngineProfile::kvRetentionMillis).orElse(0L);
            prompt.recordPrefill(handle, exchange.getWorker(), scope.now(), retentionMillis);
        } catch (IOException e) {
            scope.log("prefill_unreadable", exchange, "reason=\"" + e.getMessage() + '"');
            handleFailure(exchange);
            return;
        }
        if (workerWasIdle) {
            context.loadTracker()
                    .getSpeeds()
                    .recordPrefill(
                            scope.service(),
                            exchange.getWorker().id(),
                            getTokens(),
                            exchange.getAgeMillis(),
                            scope.now());
        }
        scope.log("prefill_done", exchange, "millis=" + exchange.getAgeMillis() + " tokens=" + getTokens());
        Optional<ListedWorker> decodeWorker = plannedDecodeWorker
                .filter(context.routingState()::isUsable)
                .filter(w -> !context.loadTracker().isUnhealthy(w.id(), scope.now()))
                .filter(workers::isWilling)
                .or(workers::chooseDecode);
        removePlannedLoad();
        listener.onPrefilled(decodeWorker);
    }

    @Override
    public void onNotRun(WorkerExchange exchange, String reason) {
        scope.logNotRun(exchange, reason);
        prefills -= WorkerExchange.isUnsent(reason) ? 1 : 0;
        handleFailure(exchange);
    }

    @Override
    public void onBroken(WorkerExchange exchange, String reason) {
        scope.logBroken(exchange, reason);
        handleFailure(exchange);
    }

    private void addPlannedLoad(ListedWorker worker) {
        plannedDecodeWorker = Optional.of(worker);
        context.loadTracker().recordStart(worker.id(), generationSize.estimateMemoryTokens());
    }

    private void removePlannedLoad() {
        plannedDecodeWorker.ifPresent(
                w -> context.loadTracker().recordEnd(w.id(), generationSize.estimateMemoryTokens()));
        plannedDecodeWorker = Optional.empty();
    }
}
