package org.magnoliavane.router.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.magnoliavane.balance.ListedWorker;

/**
 * Runs the decode of a streamed request at a worker, at most at two of them at a time, and relays the events.
 *
 * <p>A resumable stream whose decode worker is unresponsive is hedged: it is also sent to a second worker with the same KV
 * cache, which only one of the two can fetch. Other streams are not hedged, because a request that crashes its worker has
 * run without having fetched the cache.
 *
 * <p>A silent worker may be sound, so its exchange is not ended for its silence: a resumable stream that is silent for long gets a
 * replacement as soon as another worker has capacity for it. The first of the two workers that responds continues the stream;
 * they overlap for a short time only.
 *
 * <p>Not thread-safe, except for {@link #maySend}, which is called on any thread. Everything else, including the other methods of
 * the listener, runs on the executor of the request.
 */
final class DecodeExchanges implements WorkerExchange.Listener {
    /** Time without a response after which a decode is hedged; much shorter than the retention of the KV cache. */
    private static final long HEDGE_DELAY_MILLIS = 220;

    /** Time before the expiry of a KV cache within which it is no longer sent to a worker. */
    private static final long CACHE_EXPIRY_MARGIN_MILLIS = 60;

    /**
     * Share of the time after which the caller of a silent stream disconnects, after which a replacement is looked for. A sound
     * worker may be silent for a second or so.
     */
    private static final double STALL_SHARE = 0.5;

    /**
     * Time after which a silent exchange ends although its replacement, which has not refused, has not responded either. Two
     * workers must not work on a stream for longer.
     */
    private static final long MAX_OVERLAP_MILLIS = 300;

    /** Time after which another replacement is looked for when one was refused. */
    private static final long REPLACEMENT_RETRY_MILLIS = 100;

    /** Receives the results, and permits exchanges. */
    interface Listener {
        /** Counts a decode that is about to start; ends the request and returns false if it must not start. */
        boolean tryBeginDecode();

        /** Returns whether the request may still be sent; called on any thread when the connection is established. */
        boolean maySend();

        /** Called when a worker may have run the request. */
        void onPossiblyRun();

        /** Called when a worker has sent bytes that are buffered or relayed. */
        void onBuffered(WorkerExchange exchange);

        /** Called when a worker continues the stream, so that it needs no replacement. */
        void onContinued();

        /** Called when the worker of the only exchange is silent, so that another one has to be found. */
        void onSilent(WorkerExchange exchange);

        /** Called when the response is complete. */
        void onDecoded(WorkerExchange exchange, StreamPart part);

        /** Called when the worker of the only exchange did not run the request. */
        void onDecodeNotRun(WorkerExchange exchange, String reason);

        /** Called when the only exchange has failed and its worker may have run the request. */
        void onDecodeFailed(WorkerExchange exchange, String reason);
    }

    private final RequestScope scope;
    private final DispatchContext context;
    private final CallerRequest request;
    private final GenerationSize generationSize;
    private final StreamWorkers workers;
    private final RelayedStream stream;
    private final PrefilledPrompt prompt;
    private final Listener listener;
    private final StreamParts parts;
    private final WorkerRefusals refusals;

    /** The exchange that writes the stream, and its hedge or replacement. */
    private final List<WorkerExchange> active = new ArrayList<>();

    private ReservationService.Reservation reservation = () -> {};

    /** The reservation of a replacement, while the exchange that it may replace goes on. */
    private ReservationService.Reservation replacementReservation = () -> {};

    private boolean hadAmpleMemory;
    private int possibleExecutions;

    DecodeExchanges(
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
        this.parts = new StreamParts(scope, generationSize, stream);
        this.refusals = new WorkerRefusals(scope);
    }

    boolean isActive() {
        return !active.isEmpty();
    }

    boolean isActive(WorkerExchange exchange) {
        return active.contains(exchange);
    }

    /** Returns whether an answer has got past its beginning. */
    boolean isPastBeginning() {
        return active.stream().anyMatch(WorkerExchange::isPastBeginning);
    }

    /** Gets the number of workers that may have run the request and did not complete it. */
    int getPossibleExecutions() {
        return possibleExecutions;
    }

    WorkerRefusals getRefusals() {
        return refusals;
    }

    /** Gets the memory of incomplete events, of an error response and of what the caller has not read, in bytes. */
    long getBufferedBytes() {
        return parts.getBufferedBytes();
    }

    /** Takes over the reservation for the next exchange. */
    void setReservation(ReservationService.Reservation newReservation) {
        reservation = newReservation;
    }

    /** Releases the reservation when no exchange is active. */
    void releaseReservation() {
        reservation.release();
    }

    /** Cancels all exchanges and releases their reservations. */
    void cancel() {
        active.forEach(WorkerExchange::cancel);
        active.clear();
        parts.clear();
        reservation.release();
        releaseReplacement();
    }

    /** Sends the request to a worker. */
    void start(ListedWorker worker) {
        if (!listener.tryBeginDecode()) {
            return;
        }
        Optional<CacheHandle> handle = prompt.findHandle(scope.now() + CACHE_EXPIRY_MARGIN_MILLIS);
        Optional<ListedWorker> cachedAt = handle.isPresent() ? Optional.empty() : prompt.findPrefillWorker();
        hadAmpleMemory = workers.hasAmpleMemory(worker);
        scope.logChoice(
                "decode",
                worker,
                "cached=" + handle.isPresent() + " from="
                        + prompt.findPrefillWorker().map(ListedWorker::id).orElse("none") + " requests="
                        + context.loadTracker().countRequests(worker.id(), scope.now()) + " tokens="
                        + context.loadTracker().countTokens(worker.id(), scope.now()) + " own_tokens="
                        + generationSize.estimateMemoryTokens() + " parts="
                        + request.metadata().formatSharedParts());
        WorkerRequest workerRequest = new WorkerRequest(
                worker, scope.getRemainingMillis(), false, handle, cachedAt, stream.findLastEventId());
        WorkerExchange exchange = WorkerExchange.start(
                context, request, workerRequest, generationSize.estimateMemoryTokens(), scope.executor(), this);
        active.add(exchange);
        if (active.size() == 1) {
            stream.restartPause();
        }
        if (handle.isPresent() && request.route().resumable() && active.size() == 1) {
            scope.schedule(HEDGE_DELAY_MILLIS, () -> sendHedge(exchange));
        }
        if (request.route().resumable()) {
            scope.schedule(getStallMillis(), () -> checkStall(exchange));
        }
    }

    /** Also sends the decode to a second worker if the first one is unresponsive. */
    private void sendHedge(WorkerExchange unresponsive) {
        boolean eligible = active.size() == 1
                && active.get(0) == unresponsive
                && !unresponsive.isHeadReceived()
                && listener.maySend();
        if (!eligible
                || prompt.findHandle(scope.now() + CACHE_EXPIRY_MARGIN_MILLIS).isEmpty()) {
            return;
        }
        scope.excludedWorkers().add(unresponsive.getWorker().id());
        Optional<ListedWorker> second = workers.chooseDecode();
        if (second.isPresent() && scope.tryAcquireRetry()) {
            scope.log(
                    "take_over",
                    unresponsive,
                    "second=" + second.get().id() + " millis=" + unresponsive.getAgeMillis());
            start(second.get());
        }
    }

    /** Looks for a replacement for a silent exchange, which goes on until the replacement responds. */
    private void checkStall(WorkerExchange exchange) {
        if (!active.contains(exchange)) {
            return;
        }
        long pauseMillis = stream.getPauseMillis();
        if (pauseMillis < getStallMillis()) {
            scope.schedule(getStallMillis() - pauseMillis, () -> checkStall(exchange));
            return;
        }
        scope.schedule(getStallMillis(), () -> checkStall(exchange));
        scope.log("stalled", exchange, "millis=" + pauseMillis);
        lookForReplacement();
    }

    private long getStallMillis() {
        return (long) (STALL_SHARE * request.route().getEventTimeoutMillis());
    }

    private void lookForReplacement() {
        boolean mayReplace = active.size() == 1
                && stream.canContinueElsewhere()
                && possibleExecutions + 1 < request.route().maxAttempts();
        if (mayReplace && stream.getPauseMillis() >= getStallMillis()) {
            listener.onSilent(active.get(0));
        }
    }

    /** Sends the request to a replacement, which has capacity for it, if its worker is still silent. */
    void replace(ListedWorker worker, ReservationService.Reservation newReservation) {
        replacementReservation = newReservation;
        long pauseMillis = stream.getPauseMillis();
        if (pauseMillis >= getStallMillis() && listener.maySend() && scope.tryAcquireRetry()) {
            WorkerExchange silent = active.get(0);
            scope.log("replace", silent, "second=" + worker.id() + " silent_millis=" + pauseMillis);
            start(worker);
            scope.schedule(MAX_OVERLAP_MILLIS, () -> endOverlap(silent));
        } else {
            releaseReplacement();
            scope.schedule(REPLACEMENT_RETRY_MILLIS, this::lookForReplacement);
        }
    }

    /** Ends a silent exchange beside which a replacement has been sent to a worker. */
    private void endOverlap(WorkerExchange silent) {
        boolean overlaps = active.size() > 1 && active.get(0) == silent;
        if (!overlaps) {
            return;
        }
        WorkerExchange replacement = active.get(1);
        if (!replacement.isSent() || replacement.getAgeMillis() < MAX_OVERLAP_MILLIS) {
            scope.schedule(REPLACEMENT_RETRY_MILLIS, () -> endOverlap(silent));
            return;
        }
        continueWith(replacement);
    }

    private void releaseReplacement() {
        replacementReservation.release();
        replacementReservation = () -> {};
    }

    /** Ends the other exchanges of the stream once one of them continues it. */
    private void continueWith(WorkerExchange exchange) {
        listener.onContinued();
        for (WorkerExchange other : List.copyOf(active)) {
            if (other == exchange) {
                continue;
            }
            scope.log("taken_over", other, "by=" + exchange.getWorker().id());
            if (other.isHeadReceived()
                    || other.isSent() && other.getWorkerRequest().cache().isEmpty()) {
                possibleExecutions++;
            }
            if (active.indexOf(other) == 0) {
                stream.restartPause();
                other.cancelAsUnresponsive();
            } else {
                other.cancel();
            }
            removeBesideAnother(other);
        }
    }

    /** Removes an exchange while another one goes on, which keeps its own reservation. */
    private void removeBesideAnother(WorkerExchange exchange) {
        boolean isFirst = active.indexOf(exchange) == 0;
        remove(exchange);
        if (isFirst) {
            reservation.release();
            reservation = replacementReservation;
            replacementReservation = () -> {};
        } else {
            releaseReplacement();
        }
    }

    private void remove(WorkerExchange exchange) {
        active.remove(exchange);
        parts.remove(exchange);
    }

    @Override
    public boolean maySend() {
        return listener.maySend();
    }

    @Override
    public void onHead(WorkerExchange exchange, int status, Map<String, String> headers) {
        listener.onPossiblyRun();
        if (!parts.tryAdd(exchange, status, headers, active.size() == 1)) {
            scope.log(
                    active.size() > 1 ? "replacement_error" : "resume_error",
                    exchange,
                    "status=" + status + " type=" + headers.getOrDefault("content-type", "none"));
            exchange.breakOff("the stream could not be continued: status " + status);
            return;
        }
        prompt.invalidateHandle();
    }

    @Override
    public void onBytes(WorkerExchange exchange, byte[] bytes) {
        handleBytes(exchange, bytes);
        listener.onBuffered(exchange);
    }

    private void handleBytes(WorkerExchange exchange, byte[] bytes) {
        StreamPart part = parts.get(exchange);
        byte[] events = parts.collect(exchange, bytes);
        // A worker that goes on needs no replacement. The replacement has to prove by an event that it continues the
        // stream.
        if (events.length > 0 || active.indexOf(exchange) == 0 && !part.isFaulty()) {
            continueWith(exchange);
        }
        if (events.length > 0) {
            parts.relayEvents(exchange, events);
        }
        parts.findFault(part).ifPresent(exchange::breakOff);
    }

    @Override
    public void onEnd(WorkerExchange exchange) {
        StreamPart part = parts.get(exchange);
        if (parts.isBrokenOff(exchange)) {
            handleEarlyEnd(exchange, part);
            return;
        }
        remove(exchange);
        listener.onDecoded(exchange, part);
    }

    private void handleEarlyEnd(WorkerExchange exchange, StreamPart part) {
        boolean withinEvent = part.hasPartialEvent();
        if (withinEvent || part.getStatus() == 200 && !exchange.isDelimited()) {
            exchange.recordBroken(true);
        }
        String reason = "the stream ended " + (withinEvent ? "within an event" : "without an event");
        scope.log("ended_early", exchange, "reason=\"" + reason + '"');
        handleBroken(exchange, reason);
    }

    /** Records that a worker has written the rest of the stream. */
    void recordDecoded(WorkerExchange exchange) {
        parts.recordDecoded(exchange, possibleExecutions == 0);
    }

    @Override
    public void onNotRun(WorkerExchange exchange, String reason) {
        scope.logNotRun(exchange, reason);
        if (active.size() > 1) {
            removeBesideAnother(exchange);
            refusals.record(exchange, reason, hadAmpleMemory);
            scope.schedule(REPLACEMENT_RETRY_MILLIS, this::lookForReplacement);
            return;
        }
        remove(exchange);
        listener.onDecodeNotRun(exchange, reason);
    }

    /** Records why the worker of the only exchange did not run the request, before another one is chosen. */
    void recordNotRun(WorkerExchange exchange, String reason) {
        if (reason.equals(WorkerExchange.REFUSED)
                && hadAmpleMemory
                && exchange.getWorkerRequest().cache().isPresent()) {
            // A worker with free memory refuses because the cache has expired. A full or failed worker has not fetched
            // the cache.
            prompt.invalidateHandle();
        } else {
            refusals.record(exchange, reason, hadAmpleMemory);
        }
    }

    @Override
    public void onBroken(WorkerExchange exchange, String reason) {
        scope.logBroken(exchange, reason);
        handleBroken(exchange, reason);
    }

    /** Handles the failure of a decode, beside which another one may go on. */
    private void handleBroken(WorkerExchange exchange, String reason) {
        listener.onPossiblyRun();
        possibleExecutions++;
        scope.excludedWorkers().add(exchange.getWorker().id());
        if (active.size() > 1) {
            removeBesideAnother(exchange);
            scope.schedule(REPLACEMENT_RETRY_MILLIS, this::lookForReplacement);
            return;
        }
        remove(exchange);
        listener.onDecodeFailed(exchange, reason);
    }
}
