package org.magnoliavane.router.dispatch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.routing.EngineProfile;

/**
 * Runs a streamed request to a model: prefill at one worker, decode at another, which fetches the KV cache. Memory at the
 * decode worker is reserved before the prefill starts, so that no prefill is done in vain.
 *
 * <p>A resumable stream that got no sign of life is also sent to a second worker with the same KV cache, which only one of
 * the two can take. Other streams are not: a request that crashes its worker has run without having taken the cache.
 */
final class StreamExecution extends RequestExecution implements RoomQueues.WaitingRequest {
    /** Time that a prefill takes for each token on an idle worker; measured on both sites, a third above the sheets. */
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.034;

    /** Time that a prefill takes whatever its size: connection, first step, answer. */
    private static final long PREFILL_BASE_MILLIS = 25;

    /** Time from the end of a prefill to the first event, as measured on both sites, with a reserve. */
    private static final long FIRST_EVENT_MILLIS = 80;

    /** How many times its expected time a prefill may take before its worker is taken for dead. */
    private static final int PREFILL_TIMEOUT_FACTOR = 3;

    /** Time that a prefill may take beyond that, for sends of other nodes that are not known yet. */
    private static final long PREFILL_TIMEOUT_MARGIN_MILLIS = 600;

    /** Prompt tokens that may wait at a prefill worker; memory at the decode worker is held meanwhile. */
    private static final int MAX_QUEUED_TOKENS = 16_000;

    /** Time that is left for the way to the caller when a request that waits is given up. */
    private static final long RESPONSE_MARGIN_MILLIS = 150;

    /** Bounds of the time after which a caller that found all workers full may come back; drawn, so that few do at once. */
    private static final long MIN_FULL_RETRY_AFTER_MILLIS = 800;

    private static final long MAX_FULL_RETRY_AFTER_MILLIS = 2500;

    /** Largest number of prefills for one request; after that the decode worker reads the prompt itself. */
    private static final int MAX_PREFILLS = 2;

    /** Largest number of decode sends that did not run, for one request. */
    private static final int MAX_REFUSED_DECODES = 6;

    /** Time without a sign of life after which a decode is also sent to a second worker; well within a cache's life. */
    private static final long HEDGE_DELAY_MILLIS = 220;

    /** Time for which a worker whose steward had no room is not asked again. */
    private static final long REJECTED_BACKOFF_MILLIS = 100;

    /** Time for which a worker that refused for lack of memory gets nothing; some of its requests end within it. */
    private static final long FULL_BACKOFF_MILLIS = 120;

    /** Time for which a worker that has room and refuses all the same gets nothing while there are others. */
    private static final long NOT_DECODING_SUSPEND_MILLIS = 1500;

    /** Pause after which a request that needs an extra send looks at the budget again. */
    private static final long BUDGET_RETRY_MILLIS = 100;

    /** Share of its memory below which a decode worker can't be full, whatever the estimates miss. */
    private static final double AMPLE_MEMORY_SHARE = 0.7;

    /** Part of a cache's life that must be left for another send. */
    private static final long CACHE_EXPIRY_MARGIN_MILLIS = 60;

    /** Pause between events after which a resumable stream goes on elsewhere; callers give up after two seconds. */
    private static final long STALL_TIMEOUT_MILLIS = 1200;

    private final Generation generation;
    private final StreamResponse stream;
    private final List<WorkerExchange> activeDecodes = new ArrayList<>();
    private Optional<ListedWorker> plannedDecodeWorker = Optional.empty();
    private RoomBroker.Room reservation = () -> {};
    private Optional<WorkerExchange> activePrefill = Optional.empty();
    private final PrefilledPrompt prompt = new PrefilledPrompt();
    private ByteArrayOutputStream prefillBody = new ByteArrayOutputStream();
    private volatile boolean waiting;
    private int prefills;
    private int refusedDecodes;
    private boolean hadAmpleMemory;
    private int possibleExecutions;
    private long lastEventMillis;
    private long longestPauseMillis;

    StreamExecution(DispatchParts parts, CallerCall call, String service, CallerAnswer answer) {
        super(parts, call, service, answer);
        this.stream = new StreamResponse(answer, parts.wireFormat());
        this.generation = call.head().generation().orElse(new Generation(0, 0, 0));
    }

    @Override
    void execute() {
        enqueue();
    }

    /** Waits for room; the queue calls {@link #tryAdmit} at once when there is some. */
    private void enqueue() {
        if (!hasWorkers()) {
            failStream("no worker is available");
            return;
        }
        waiting = true;
        long expected = estimatePrefillMillis(generation.promptTokens());
        // A prompt that has been read would be read in vain if its request had to stand behind those that came later.
        long startBy = stream.hasStarted() || prompt.findPrefillWorker().isPresent()
                ? getLatestStartMillis()
                : request.arrivalMillis() + request.route().targetMillis() - expected - FIRST_EVENT_MILLIS;
        context.admissionQueues().enqueue(service, this, request.arrivalMillis(), startBy);
        if (waiting) {
            schedule(getLatestStartMillis() - now(), this::handleQueueTimeout);
        }
    }

    /** Gets the time after which the first event could not reach the caller before it leaves. */
    private long getLatestStartMillis() {
        long lastSign = stream.hasStarted() ? lastEventMillis : request.arrivalMillis();
        long patienceEnd = lastSign + request.route().getEventPatienceMillis();
        long prefillLeft =
                prompt.findPrefillWorker().isPresent() ? 0 : estimatePrefillMillis(generation.promptTokens());
        return Math.min(patienceEnd, request.limitMillis()) - prefillLeft - FIRST_EVENT_MILLIS - RESPONSE_MARGIN_MILLIS;
    }

    /** Lets the caller come back later rather than leave without an answer. */
    private void handleQueueTimeout() {
        if (waiting) {
            waiting = false;
            if (stream.hasStarted()) {
                failStream("no room to go on");
                return;
            }
            long spread = MAX_FULL_RETRY_AFTER_MILLIS - MIN_FULL_RETRY_AFTER_MILLIS;
            failWithoutResponse(
                    "all workers are full",
                    MIN_FULL_RETRY_AFTER_MILLIS
                            + (long) (spread * context.random().getAsDouble()));
        }
    }

    private boolean hasWorkers() {
        return getWorkers().stream()
                .anyMatch(w -> w.server().role() != WorkerRole.PREFILL
                        && !w.server().leaving()
                        && !excludedWorkers.contains(w.id()));
    }

    private static long estimatePrefillMillis(int tokens) {
        return PREFILL_BASE_MILLIS + (long) (PREFILL_MILLIS_PER_TOKEN * tokens);
    }

    @Override
    public boolean isDone() {
        return !waiting;
    }

    @Override
    public RoomQueues.Outcome tryAdmit() {
        Optional<ListedWorker> decode = chooseDecodeWorker();
        if (decode.isEmpty()) {
            return RoomQueues.Outcome.NO_CAPACITY;
        }
        boolean read =
                prompt.findPrefillWorker().isPresent() || prefills >= MAX_PREFILLS || generation.promptTokens() == 0;
        Optional<ListedWorker> prefiller = read
                ? Optional.empty()
                : context.workerSelector()
                        .choosePrefill(
                                getWorkers(),
                                excludedWorkers,
                                decode.get().server().zone(),
                                now());
        if (prefiller.isPresent()
                && context.loadTracker().countTokens(prefiller.get().id(), now()) > MAX_QUEUED_TOKENS) {
            return RoomQueues.Outcome.NO_CAPACITY;
        }
        Optional<EngineProfile> engine = findEngine();
        if (engine.isEmpty()) {
            waiting = false;
            executor.execute(() -> start(decode.get(), prefiller));
            return RoomQueues.Outcome.ADMITTED;
        }
        reservation.release();
        reservation = context.reservationService()
                .ask(
                        decode.get(),
                        engine.get(),
                        generation.estimateMemoryTokens(),
                        granted -> executor.execute(() -> handleReservationResult(granted, decode.get(), prefiller)));
        return RoomQueues.Outcome.PENDING;
    }

    private void handleReservationResult(boolean granted, ListedWorker decode, Optional<ListedWorker> prefiller) {
        if (!granted) {
            context.loadTracker().markFull(decode.id(), now() + REJECTED_BACKOFF_MILLIS);
        } else if (waiting) {
            waiting = false;
            start(decode, prefiller);
        } else {
            reservation.release();
        }
        context.admissionQueues().handleReservationResult(service, granted);
    }

    private void start(ListedWorker decode, Optional<ListedWorker> prefiller) {
        if (prefiller.isEmpty() || prefills > 0 && !context.retryBudgets().tryAcquire(service)) {
            startDecode(decode);
        } else {
            addPlannedLoad(decode);
            startPrefill(prefiller.get());
        }
    }

    private Collection<ListedWorker> getWorkers() {
        return context.clusterState().getWorkers(service);
    }

    private Optional<EngineProfile> findEngine() {
        return context.clusterState()
                .getRouting()
                .flatMap(r -> r.findService(service))
                .flatMap(s -> s.engine());
    }

    private void startPrefill(ListedWorker worker) {
        prefills++;
        prefillBody = new ByteArrayOutputStream();
        int queued = context.loadTracker().countTokens(worker.id(), now());
        long expected = estimatePrefillMillis(queued + generation.promptTokens());
        WorkerCall to = new WorkerCall(
                worker, getRemainingMillis(), true, Optional.empty(), Optional.empty(), findLastEventId());
        WorkerExchange send = WorkerExchange.start(context, request, to, generation.promptTokens(), executor, this);
        activePrefill = Optional.of(send);
        schedule(PREFILL_TIMEOUT_FACTOR * expected + PREFILL_TIMEOUT_MARGIN_MILLIS, () -> {
            if (activePrefill.isPresent() && activePrefill.get() == send) {
                log("prefill_silent", send, "millis=" + send.getAgeMillis() + " expected=" + expected);
                send.cancelAsUnresponsive();
                handlePrefillFailure(send);
            }
        });
    }

    private void handlePrefillFailure(WorkerExchange send) {
        activePrefill = Optional.empty();
        excludedWorkers.add(send.getWorker().id());
        removePlannedLoad();
        enqueue();
    }

    private void handlePrefillEnd(WorkerExchange send) {
        activePrefill = Optional.empty();
        try {
            CacheHandle handle =
                    context.wireFormat().readCacheHandle(send.getWorkerRequest(), prefillBody.toByteArray());
            long life = findEngine().map(EngineProfile::handleMillis).orElse(0L);
            prompt.recordPrefill(handle, send.getWorker(), now(), life);
            log("prefill_done", send, "millis=" + send.getAgeMillis() + " tokens=" + generation.promptTokens());
            Optional<ListedWorker> decode = plannedDecodeWorker
                    .filter(w -> !context.loadTracker().isAvoided(w.id(), now()))
                    .or(() -> chooseDecodeWorker());
            removePlannedLoad();
            if (decode.isPresent()) {
                startDecode(decode.get());
            } else {
                enqueue();
            }
        } catch (IOException e) {
            log("prefill_unreadable", send, "reason=\"" + e.getMessage() + '"');
            handlePrefillFailure(send);
        }
    }

    private boolean hasAmpleMemory(ListedWorker worker) {
        int tokens = context.loadTracker().countTokens(worker.id(), now());
        return findEngine()
                .map(e -> tokens < AMPLE_MEMORY_SHARE * e.memoryTokens())
                .orElse(true);
    }

    private Optional<ListedWorker> chooseDecodeWorker() {
        Optional<EngineProfile> engine = findEngine();
        return engine.isPresent()
                ? context.workerSelector()
                        .chooseDecode(
                                getWorkers(), engine.get(), generation.estimateMemoryTokens(), excludedWorkers, now())
                : context.workerSelector().choosePlain(getWorkers(), excludedWorkers, now());
    }

    private void startDecode(ListedWorker worker) {
        exchanges++;
        Optional<CacheHandle> handle = prompt.findHandle(now() + CACHE_EXPIRY_MARGIN_MILLIS);
        Optional<ListedWorker> cachedAt = handle.isPresent() ? Optional.empty() : prompt.findPrefillWorker();
        hadAmpleMemory = hasAmpleMemory(worker);
        log(
                "decode",
                worker,
                "cached=" + handle.isPresent() + " from="
                        + prompt.findPrefillWorker().map(ListedWorker::id).orElse("none") + " requests="
                        + context.loadTracker().countRequests(worker.id(), now()) + " tokens="
                        + context.loadTracker().countTokens(worker.id(), now()) + " own_tokens="
                        + generation.estimateMemoryTokens());
        WorkerCall to = new WorkerCall(worker, getRemainingMillis(), false, handle, cachedAt, findLastEventId());
        WorkerExchange send =
                WorkerExchange.start(context, request, to, generation.estimateMemoryTokens(), executor, this);
        activeDecodes.add(send);
        lastEventMillis = now();
        if (handle.isPresent() && request.route().resumable() && activeDecodes.size() == 1) {
            schedule(HEDGE_DELAY_MILLIS, () -> sendHedge(send));
        }
        if (request.route().resumable() && activeDecodes.size() == 1) {
            schedule(STALL_TIMEOUT_MILLIS, () -> checkStall(send));
        }
    }

    /** Offers the KV cache to a second worker when the first one shows no sign of life. */
    private void sendHedge(WorkerExchange silent) {
        boolean open = activeDecodes.size() == 1 && activeDecodes.get(0) == silent && !silent.isHeadReceived();
        if (!open || prompt.findHandle(now() + CACHE_EXPIRY_MARGIN_MILLIS).isEmpty()) {
            return;
        }
        excludedWorkers.add(silent.getWorker().id());
        Optional<ListedWorker> second = chooseDecodeWorker();
        if (second.isPresent() && context.retryBudgets().tryAcquire(service)) {
            log("take_over", silent, "second=" + second.get().id() + " millis=" + silent.getAgeMillis());
            startDecode(second.get());
        }
    }

    private void checkStall(WorkerExchange send) {
        if (!activeDecodes.contains(send)) {
            return;
        }
        long pause = now() - lastEventMillis;
        if (pause < STALL_TIMEOUT_MILLIS) {
            schedule(STALL_TIMEOUT_MILLIS - pause, () -> checkStall(send));
            return;
        }
        if (possibleExecutions + 1 < request.route().maxAttempts()
                && context.retryBudgets().tryAcquire(service)) {
            log("stalled", send, "millis=" + pause);
            send.cancelAsUnresponsive();
            activeDecodes.remove(send);
            handleDecodeFailure(send, "no event for " + pause + " ms", true);
        }
    }

    private Optional<String> findLastEventId() {
        return stream.findLastEventId().or(() -> request.head().lastEventId());
    }

    @Override
    public void onHead(WorkerExchange send, int responseStatus, Map<String, String> responseHeaders) {
        if (isPrefill(send)) {
            if (responseStatus != 200) {
                log("prefill_error", send, "status=" + responseStatus);
                send.cancel();
                handlePrefillFailure(send);
            }
            return;
        }
        for (WorkerExchange other : List.copyOf(activeDecodes)) {
            if (other != send) {
                log("taken_over", other, "by=" + send.getWorker().id());
                other.cancelAsUnresponsive();
                activeDecodes.remove(other);
            }
        }
        mayHaveRun = true;
        prompt.invalidateHandle();
        if (!stream.handleHead(responseStatus, responseHeaders)) {
            log("resume_error", send, "status=" + responseStatus);
            send.cancel();
            activeDecodes.remove(send);
            handleDecodeFailure(send, "the stream could not go on: status " + responseStatus, false);
        }
    }

    @Override
    public void onBytes(WorkerExchange send, byte[] bytes) {
        if (isPrefill(send)) {
            prefillBody.writeBytes(bytes);
            return;
        }
        boolean begun = stream.hasStarted();
        if (!stream.relayBytes(bytes)) {
            return;
        }
        if (begun) {
            longestPauseMillis = Math.max(longestPauseMillis, now() - lastEventMillis);
        }
        lastEventMillis = now();
        if (!begun) {
            log("first_event", send, "millis=" + send.getAgeMillis());
            context.metrics().histogram("streams.first_event_millis").update(now() - request.arrivalMillis());
        }
    }

    @Override
    public void onEnd(WorkerExchange send) {
        if (isPrefill(send)) {
            handlePrefillEnd(send);
            return;
        }
        activeDecodes.remove(send);
        if (!stream.isError() && stream.hasPartialEvent()) {
            handleDecodeFailure(send, "the stream ended within an event", false);
            return;
        }
        finish(
                "answered",
                "worker=" + send.getWorker().id() + " status=" + stream.getStatus() + " decode_millis="
                        + send.getAgeMillis() + " longest_pause_millis=" + longestPauseMillis + " output_tokens="
                        + generation.maxOutputTokens());
        stream.complete();
    }

    @Override
    public void onNotRun(WorkerExchange send, String reason) {
        log("not_run", send, "prefill=" + isPrefill(send) + " reason=\"" + reason + '"');
        if (isPrefill(send)) {
            handlePrefillFailure(send);
            return;
        }
        activeDecodes.remove(send);
        if (!activeDecodes.isEmpty()) {
            return;
        }
        if (mayHaveRun && !request.route().resumable()) {
            failStream(reason);
            return;
        }
        if (reason.equals(WorkerExchange.REFUSED)
                && hadAmpleMemory
                && send.getWorkerRequest().cache().isPresent()) {
            // A worker that is full or gone has not taken the cache; one with room refuses because the cache has
            // lapsed.
            prompt.invalidateHandle();
        } else if (reason.equals(WorkerExchange.REFUSED) && hadAmpleMemory) {
            // A worker with room that refuses whatever it is sent does not decode, for example while its role changes.
            excludedWorkers.add(send.getWorker().id());
            context.loadTracker().suspend(send.getWorker().id(), now() + NOT_DECODING_SUSPEND_MILLIS);
        } else if (reason.equals(WorkerExchange.REFUSED)) {
            context.loadTracker().markFull(send.getWorker().id(), now() + FULL_BACKOFF_MILLIS);
        } else {
            excludedWorkers.add(send.getWorker().id());
        }
        boolean arrived = !reason.equals(WorkerExchange.UNREACHABLE);
        refusedDecodes += arrived ? 1 : 0;
        if (refusedDecodes >= MAX_REFUSED_DECODES) {
            failStream(reason);
        } else if (arrived) {
            enqueueWithinBudget();
        } else {
            enqueue();
        }
    }

    /** Waits for the budget rather than send the caller away: nothing has run, and the prompt has been read. */
    private void enqueueWithinBudget() {
        if (context.retryBudgets().tryAcquire(service)) {
            enqueue();
        } else if (now() + BUDGET_RETRY_MILLIS < getLatestStartMillis()) {
            schedule(BUDGET_RETRY_MILLIS, this::enqueueWithinBudget);
        } else {
            failStream("the budget for repeats is used up");
        }
    }

    @Override
    public void onBroken(WorkerExchange send, String reason) {
        log(
                "broken",
                send,
                "prefill=" + isPrefill(send) + " millis=" + send.getAgeMillis() + " reason=\"" + reason + '"');
        if (isPrefill(send)) {
            handlePrefillFailure(send);
            return;
        }
        activeDecodes.remove(send);
        if (activeDecodes.isEmpty()) {
            handleDecodeFailure(send, reason, false);
        }
    }

    /** Goes on elsewhere after a decode that may have run, where the stream may be resumed. */
    private void handleDecodeFailure(WorkerExchange send, String reason, boolean paid) {
        mayHaveRun = true;
        possibleExecutions++;
        excludedWorkers.add(send.getWorker().id());
        stream.discardPartialEvent();
        boolean again = request.route().resumable()
                && possibleExecutions < request.route().maxAttempts();
        if (again && (paid || context.retryBudgets().tryAcquire(service))) {
            enqueue();
            return;
        }
        failStream(reason);
    }

    private void failStream(String reason) {
        if (!stream.hasStarted()) {
            failWithoutResponse(reason, NO_WORKER_RETRY_AFTER_MILLIS);
            return;
        }
        finish("broken_off", "reason=\"" + reason + '"');
        response.breakOff();
    }

    @Override
    void handleTimeout() {
        if (stream.hasStarted()) {
            failStream("time limit reached");
            return;
        }
        if (activeDecodes.isEmpty() && !mayHaveRun) {
            failWithoutResponse("no worker could take the request in time", NO_WORKER_RETRY_AFTER_MILLIS);
            return;
        }
        super.handleTimeout();
    }

    @Override
    void cancelExchanges() {
        waiting = false;
        activePrefill.ifPresent(WorkerExchange::cancel);
        activePrefill = Optional.empty();
        activeDecodes.forEach(WorkerExchange::cancel);
        activeDecodes.clear();
        removePlannedLoad();
        reservation.release();
        context.admissionQueues().handleCapacityFreed(service);
    }

    private boolean isPrefill(WorkerExchange send) {
        return send.getWorkerRequest().prefillOnly();
    }

    private void addPlannedLoad(ListedWorker worker) {
        plannedDecodeWorker = Optional.of(worker);
        context.loadTracker().recordStart(worker.id(), generation.estimateMemoryTokens());
    }

    private void removePlannedLoad() {
        plannedDecodeWorker.ifPresent(w -> context.loadTracker().recordEnd(w.id(), generation.estimateMemoryTokens()));
        plannedDecodeWorker = Optional.empty();
    }
}
