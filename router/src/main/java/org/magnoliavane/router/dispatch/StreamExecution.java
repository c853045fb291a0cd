package org.magnoliavane.router.dispatch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.magnoliavane.Fault;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.ReservationTable;
import org.magnoliavane.budget.ByteBudget;
import org.magnoliavane.budget.ByteBudget.Allocation;
import org.magnoliavane.routing.EngineProfile;

/**
 * Executes a streamed model request: prefill at one worker, then decode at another, which fetches the KV cache. Memory at the
 * decode worker is reserved before the prefill starts, so that no prefill is wasted.
 *
 * <p>A resumable stream whose decode worker is unresponsive is hedged: it is also sent to a second worker with the same KV
 * cache, which only one of the two can fetch. Other streams are not hedged, because a request that crashes its worker has
 * run without having fetched the cache.
 *
 * <p>A silent worker may be sound, so its exchange is not ended for its silence: a resumable stream that is silent for long gets a
 * replacement as soon as another worker has capacity for it. The first of the two workers that responds continues the stream;
 * they overlap for a short time only.
 *
 * <p>The admission queue calls {@link #isDone} and {@link #tryAdmit} on any thread. Everything else runs on the executor of
 * the request.
 */
final class StreamExecution extends RequestExecution
        implements AdmissionQueues.WaitingRequest, CapacityRequest.Listener {
    /** Number of output tokens from which the duration of a stream shows the speed of its worker. */
    private static final int MIN_MEASURED_TOKENS = 10;

    /** Time from the end of a prefill to the first event, including a margin. */
    private static final long FIRST_EVENT_MILLIS = 80;

    /** Multiple of the expected duration of a prefill after which its worker is considered failed. */
    private static final int PREFILL_TIMEOUT_FACTOR = 3;

    /** Additional time for a prefill, because requests of other nodes may not be known yet. */
    private static final long PREFILL_TIMEOUT_MARGIN_MILLIS = 600;

    /** Largest number of queued tokens at a prefill worker; limited because decode memory stays reserved meanwhile. */
    private static final int MAX_QUEUED_TOKENS = 16_000;

    /** Time that remains to send an error response when a request leaves the queue. */
    private static final long RESPONSE_MARGIN_MILLIS = 150;

    /**
     * Bounds of the time after which a caller may retry if all workers are full. The time is random, so that few callers
     * retry at the same time.
     */
    private static final long MIN_FULL_RETRY_AFTER_MILLIS = 800;

    private static final long MAX_FULL_RETRY_AFTER_MILLIS = 2500;

    /** Largest number of prefills of a request; after that the decode worker runs the prefill itself. */
    private static final int MAX_PREFILLS = 2;

    /** Largest number of decodes of a request that reached a worker but did not run. */
    private static final int MAX_REFUSED_DECODES = 6;

    /** Time without a response after which a decode is hedged; much shorter than the retention of the KV cache. */
    private static final long HEDGE_DELAY_MILLIS = 220;

    /** Time for which a worker counts as full after its reservation owner rejected a reservation. */
    private static final long REJECTED_BACKOFF_MILLIS = 100;

    /** Time for which a worker counts as full after it refused a decode for lack of memory; some of its requests end meanwhile. */
    private static final long FULL_BACKOFF_MILLIS = 120;

    /** Time for which a worker is suspended that refuses a decode although it has free memory. */
    private static final long NOT_DECODING_SUSPEND_MILLIS = 1500;

    /** Interval at which a request that needs a retry checks the retry budget again. */
    private static final long BUDGET_RETRY_MILLIS = 100;

    /** Interval at which a stream that has begun tries workers again that accepted no connection. */
    private static final long UNREACHABLE_RETRY_MILLIS = 100;

    /** Interval at which an overdue request that waits is checked for being hopeless; callers can use the time they get back. */
    private static final long OVERDUE_CHECK_INTERVAL_MILLIS = 200;

    /** Interval at which a request that waits at reservation owners looks for workers that have become free meanwhile. */
    private static final long FREE_WORKER_INTERVAL_MILLIS = 200;

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

    /** Largest response to a prefill, which has only a handle; a faulty worker may send bytes without end. */
    private static final int MAX_PREFILL_RESPONSE_BYTES = 64 << 10;

    /** Largest event or error response of a worker. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** Bytes of a stream that are not counted: events of usual size must not fail because others fill the budget. */
    private static final int UNCOUNTED_BYTES = 4096;

    /** Memory that a byte of an incomplete event takes: it is kept as part of its line as well, and buffers grow by doubling. */
    private static final int PARTIAL_EVENT_FACTOR = 3;

    private final GenerationSize generationSize;

    /** The budget of what this request buffers of responses: incomplete events, errors, and what the caller has not read. */
    private final Allocation buffers;

    private long countedBytes;

    /** Whether the response is complete or the caller has left; set before the execution learns of it. */
    private volatile boolean buffersClosed;

    private final StreamWorkers workers;
    private final StreamResponse stream;

    /** The last event that the caller has. */
    private final StreamPosition position;

    /** What the workers of exchanges that have a head have written of the stream. */
    private final Map<WorkerExchange, StreamPart> parts = new HashMap<>();

    /** Excluded workers that accepted no connection. */
    private final Set<String> unreachableWorkers = new HashSet<>();

    private final List<WorkerExchange> activeDecodes = new ArrayList<>();
    private Optional<ListedWorker> plannedDecodeWorker = Optional.empty();
    private ReservationService.Reservation reservation = () -> {};

    /** The reservation of a replacement, while the exchange that it may replace goes on. */
    private ReservationService.Reservation replacementReservation = () -> {};

    private Optional<WorkerExchange> activePrefill = Optional.empty();
    private Optional<PrefillSlot> prefillSlotRequest = Optional.empty();
    private ReservationService.Reservation prefillSlot = () -> {};
    private final PrefilledPrompt prompt = new PrefilledPrompt();
    private ByteArrayOutputStream prefillBody = new ByteArrayOutputStream();
    private volatile boolean waiting;

    /** The latest start with which the request is on time, as of its latest wait. */
    private volatile long onTimeStartMillis;

    private Optional<CapacityRequest> capacityRequest = Optional.empty();
    private int waits;
    private int prefills;
    private int refusedDecodes;
    private boolean hadAmpleMemory;

    /** Whether the worker of the latest prefill had no other tokens as far as known, so that its time shows its speed. */
    private boolean prefillWorkerWasIdle;

    private int possibleExecutions;
    private long firstEventMillis;
    private long lastEventMillis;

    /** Time of the last event, or of the start of the only decode, or of its replacement. */
    private long lastProgressMillis;

    private long longestPauseMillis;
    private boolean progressRecorded;

    StreamExecution(DispatchContext context, CallerRequest request, String service, CallerResponse response) {
        super(context, request, service, response);
        this.stream = new StreamResponse(response, context.wireFormat());
        this.position = StreamPosition.after(
                request.metadata().lastEventId().filter(id -> request.route().resumable()));
        this.generationSize = request.metadata().generation().orElse(new GenerationSize(0, 0, 0));
        this.buffers = context.budget().open(ByteBudget.Use.RESPONSE);
        response.onComplete(() -> {
            buffersClosed = true;
            buffers.close();
        });
        this.workers = new StreamWorkers(
                context, request, service, generationSize, excludedWorkers, () -> exchanges > 0 || stream.hasStarted());
    }

    @Override
    void execute() {
        enqueue();
    }

    @Override
    boolean isBeginning() {
        return !activeDecodes.isEmpty();
    }

    @Override
    boolean isPastBeginning() {
        return activeDecodes.stream().anyMatch(WorkerExchange::isPastBeginning);
    }

    /** Waits for free capacity; the queue calls {@link #tryAdmit} immediately if there is some. */
    private void enqueue() {
        if (!mayProceed()) {
            return;
        }
        reservation.release();
        if (refuseHopeless(request.urgency())) {
            return;
        }
        if (workers.hasUsable()) {
            waitForCapacity();
        } else if (mayTryUnreachableAgain()) {
            excludedWorkers.removeAll(unreachableWorkers);
            unreachableWorkers.clear();
            schedule(UNREACHABLE_RETRY_MILLIS, this::enqueue);
        } else {
            failStream("no worker is available");
        }
    }

    /**
     * Refuses a request that has been sent to no worker if none can finish it, or if it cannot be expected to start in time.
     *
     * @param urgency the urgency up to which waiting requests count as ahead of it
     */
    private boolean refuseHopeless(int urgency) {
        if (stream.hasStarted() || mayHaveRun || exchanges > 0 || prefills > 0) {
            return false;
        }
        Optional<AdmissionControl.Refusal> refusal = context.admissionControl()
                .findRefusal(
                        workers,
                        context.admissionQueues().getBacklogs(),
                        service,
                        urgency,
                        getLatestStartMillis() - now(),
                        getRemainingMillis());
        refusal.ifPresent(r -> {
            logRefusal(r.cause(), "urgency=" + request.urgency() + ' ' + r.detail());
            context.metrics().counter("admission.refused_" + r.cause()).inc();
            failWithoutResponse(r.reason(), r.retryAfterMillis());
        });
        return refusal.isPresent();
    }

    /** Returns whether a stream that has begun, which can no longer be refused, has time for a worker that may be only silent. */
    private boolean mayTryUnreachableAgain() {
        return stream.hasStarted()
                && !unreachableWorkers.isEmpty()
                && now() + UNREACHABLE_RETRY_MILLIS < getLatestStartMillis();
    }

    private void waitForCapacity() {
        waiting = true;
        long expectedMillis = estimatePrefillMillis(generationSize.promptTokens());
        // A finished prefill would be wasted if its request had to wait behind later requests as an overdue one.
        onTimeStartMillis = stream.hasStarted() || prompt.findPrefillWorker().isPresent()
                ? getLatestStartMillis()
                : request.arrivalMillis() + request.route().targetMillis() - expectedMillis - FIRST_EVENT_MILLIS;
        context.admissionQueues().enqueue(service, this, request.urgency(), request.arrivalMillis(), onTimeStartMillis);
        if (waiting) {
            int wait = ++waits;
            schedule(onTimeStartMillis + 1 - now(), () -> checkOverdue(wait));
            schedule(getLatestStartMillis() - now(), () -> {
                // The timer of an earlier wait may be due while the request waits again.
                if (wait == waits) {
                    handleQueueTimeout();
                }
            });
        }
    }

    /** Refuses an overdue request while it waits, for which all waiting requests count as ahead. */
    private void checkOverdue(int wait) {
        if (wait == waits && waiting && !refuseHopeless(Integer.MAX_VALUE)) {
            schedule(OVERDUE_CHECK_INTERVAL_MILLIS, () -> checkOverdue(wait));
        }
    }

    /** Gets the time after which the next event could not reach the caller before its timeout. */
    private long getLatestStartMillis() {
        long lastEventOrArrivalMillis = stream.hasStarted() ? lastEventMillis : request.arrivalMillis();
        long callerTimeoutMillis = lastEventOrArrivalMillis + request.route().getEventTimeoutMillis();
        long remainingPrefillMillis =
                prompt.findPrefillWorker().isPresent() ? 0 : estimatePrefillMillis(generationSize.promptTokens());
        return Math.min(callerTimeoutMillis, request.deadlineMillis())
                - remainingPrefillMillis
                - FIRST_EVENT_MILLIS
                - RESPONSE_MARGIN_MILLIS;
    }

    /** Fails a waiting request in time for the caller to receive the time after which it may retry. */
    private void handleQueueTimeout() {
        if (waiting) {
            stopWaiting();
            if (!activeDecodes.isEmpty()) {
                // No replacement was found, and the worker may go on.
                return;
            }
            if (stream.hasStarted()) {
                failStream("no free capacity to resume the stream");
                return;
            }
            long spread = MAX_FULL_RETRY_AFTER_MILLIS - MIN_FULL_RETRY_AFTER_MILLIS;
            failWithoutResponse(
                    "all workers are full",
                    MIN_FULL_RETRY_AFTER_MILLIS
                            + (long) (spread * context.random().getAsDouble()));
        }
    }

    @Override
    boolean isEligible(ListedWorker worker) {
        return worker.server().role() != WorkerRole.PREFILL;
    }

    private long estimatePrefillMillis(int tokens) {
        return (long) context.loadTracker().getSpeeds().getMeanPrefillMillis(service, tokens);
    }

    @Override
    public boolean isDone() {
        return !waiting;
    }

    @Override
    public int getTokens() {
        return generationSize.estimateMemoryTokens();
    }

    @Override
    public AdmissionQueues.Outcome tryAdmit() {
        Optional<CapacityRequest.Candidate> first = workers.chooseCandidate(Set.of());
        if (first.isEmpty()) {
            return AdmissionQueues.Outcome.NO_CAPACITY;
        }
        Optional<ListedWorker> prefillWorker = choosePrefillWorker(first.get().worker());
        if (prefillWorker.isPresent()
                && context.loadTracker().countTokens(prefillWorker.get().id(), now()) > MAX_QUEUED_TOKENS) {
            return AdmissionQueues.Outcome.NO_CAPACITY;
        }
        if (workers.findEngine().isEmpty()) {
            waiting = false;
            executor.execute(() -> admit(() -> {}, first.get().worker()));
            return AdmissionQueues.Outcome.ADMITTED;
        }
        executor.execute(() -> askForCapacity(first.get()));
        return AdmissionQueues.Outcome.PENDING;
    }

    private Optional<ListedWorker> choosePrefillWorker(ListedWorker decodeWorker) {
        return choosePrefillWorker(decodeWorker, Set.of());
    }

    private Optional<ListedWorker> choosePrefillWorker(ListedWorker decodeWorker, Set<String> asked) {
        boolean prefilled = prompt.findPrefillWorker().isPresent()
                || prefills >= MAX_PREFILLS
                || generationSize.promptTokens() == 0;
        return prefilled ? Optional.empty() : workers.choosePrefill(decodeWorker, asked);
    }

    private void askForCapacity(CapacityRequest.Candidate first) {
        if (!waiting) {
            context.admissionQueues().handleReservationResult(service, this, false);
            return;
        }
        CapacityRequest asking = new CapacityRequest(
                context.reservationService(),
                () -> onTimeStartMillis < now(),
                executor,
                workers::chooseCandidate,
                this::createDemand,
                this);
        capacityRequest.ifPresent(CapacityRequest::withdraw);
        capacityRequest = Optional.of(asking);
        asking.ask(first);
        schedule(FREE_WORKER_INTERVAL_MILLIS, () -> lookForFreeWorker(asking));
    }

    private void lookForFreeWorker(CapacityRequest asking) {
        if (capacityRequest.isPresent() && capacityRequest.get() == asking) {
            asking.lookForFree();
            schedule(FREE_WORKER_INTERVAL_MILLIS, () -> lookForFreeWorker(asking));
        }
    }

    private ReservationTable.Demand createDemand(CapacityRequest.Candidate candidate) {
        EngineProfile engine = workers.findEngine().orElseThrow();
        long now = now();
        return new ReservationTable.Demand(
                candidate.worker().id(),
                getTokens(),
                engine.getUsableTokens(),
                engine.slots(),
                request.urgency(),
                now - request.arrivalMillis(),
                onTimeStartMillis - now,
                Math.max(0, getLatestStartMillis() - now),
                candidate.free());
    }

    @Override
    public void withdraw() {
        executor.execute(this::withdrawCapacityRequest);
    }

    private void withdrawCapacityRequest() {
        capacityRequest.ifPresent(CapacityRequest::withdraw);
        capacityRequest = Optional.empty();
    }

    private void stopWaiting() {
        if (waiting) {
            waiting = false;
            withdrawCapacityRequest();
            context.admissionQueues().handleReservationResult(service, this, false);
        }
    }

    @Override
    public void onGranted(ListedWorker worker, ReservationService.Reservation handle) {
        capacityRequest = Optional.empty();
        if (!waiting) {
            handle.release();
            return;
        }
        if (!workers.mayUseGrant(worker)) {
            handle.release();
            log("grant_declined", worker, "reason=\"the worker is unhealthy, full or wants no requests\"");
            context.metrics().counter("admission.declined_grants").inc();
            context.admissionQueues().handleReservationResult(service, this, false);
            return;
        }
        waiting = false;
        // The request leaves the queue first, because it may have to wait again at once.
        context.admissionQueues().handleReservationResult(service, this, true);
        admit(context.admissionControl().measure(service, getTokens(), handle), worker);
    }

    @Override
    public void onWaiting(ListedWorker worker) {
        log(
                "waiting",
                worker,
                "urgency=" + request.urgency() + " own_tokens=" + getTokens() + " overdue_in_millis="
                        + (onTimeStartMillis - now()) + " wait_millis=" + (getLatestStartMillis() - now()));
        context.metrics().counter("admission.waits").inc();
    }

    @Override
    public void onRejected(ListedWorker worker, boolean last) {
        context.loadTracker().markFull(worker.id(), now() + REJECTED_BACKOFF_MILLIS);
        context.metrics().counter("admission.rejections").inc();
        if (last) {
            capacityRequest = Optional.empty();
            context.admissionQueues().handleReservationResult(service, this, false);
        }
    }

    private void admit(ReservationService.Reservation handle, ListedWorker decodeWorker) {
        if (ended) {
            handle.release();
            return;
        }
        if (activeDecodes.isEmpty()) {
            reservation = handle;
            startExchanges(decodeWorker, choosePrefillWorker(decodeWorker));
            return;
        }
        replacementReservation = handle;
        if (getPauseMillis() >= getStallMillis()
                && maySend()
                && context.retryBudgets().tryAcquire(service)) {
            log("replace", activeDecodes.get(0), "second=" + decodeWorker.id() + " silent_millis=" + getPauseMillis());
            WorkerExchange silent = activeDecodes.get(0);
            startDecode(decodeWorker);
            schedule(MAX_OVERLAP_MILLIS, () -> endOverlap(silent));
        } else {
            releaseReplacement();
            schedule(REPLACEMENT_RETRY_MILLIS, this::lookForReplacement);
        }
    }

    /** Ends a silent exchange beside which a replacement has been sent to a worker. */
    private void endOverlap(WorkerExchange silent) {
        boolean overlaps = activeDecodes.size() > 1 && activeDecodes.get(0) == silent;
        if (!overlaps) {
            return;
        }
        WorkerExchange replacement = activeDecodes.get(1);
        if (!replacement.isSent() || replacement.getAgeMillis() < MAX_OVERLAP_MILLIS) {
            schedule(REPLACEMENT_RETRY_MILLIS, () -> endOverlap(silent));
            return;
        }
        continueWith(replacement);
    }

    private void releaseReplacement() {
        replacementReservation.release();
        replacementReservation = () -> {};
    }

    private void startExchanges(ListedWorker decodeWorker, Optional<ListedWorker> prefillWorker) {
        if (prefillWorker.isEmpty() || prefills > 0 && !context.retryBudgets().tryAcquire(service)) {
            startDecode(decodeWorker);
        } else {
            addPlannedLoad(decodeWorker);
            requestPrefillSlot(decodeWorker, prefillWorker.get());
        }
    }

    /** Waits for a slot of a prefill worker in a fleet whose reports are too old to find a free one. */
    private void requestPrefillSlot(ListedWorker decodeWorker, ListedWorker first) {
        if (!context.workerSelector().hasOldReports(now())) {
            startPrefill(first);
            return;
        }
        prefillSlotRequest = Optional.of(PrefillSlot.request(
                context,
                executor,
                first,
                estimatePrefillMillis(generationSize.promptTokens()),
                request,
                asked -> choosePrefillWorker(decodeWorker, asked),
                (worker, slot) -> {
                    prefillSlotRequest = Optional.empty();
                    prefillSlot = slot;
                    startPrefill(worker);
                }));
    }

    private void startPrefill(ListedWorker worker) {
        if (!mayProceed()) {
            return;
        }
        prefills++;
        prefillBody = new ByteArrayOutputStream();
        int queued = context.loadTracker().countTokens(worker.id(), now());
        long expectedMillis = (long) context.loadTracker()
                .getSpeeds()
                .getPrefillMillis(service, worker.id(), queued + generationSize.promptTokens(), now());
        prefillWorkerWasIdle = queued == 0;
        logChoice(
                "prefill",
                worker,
                "queued_tokens=" + queued + " tokens=" + generationSize.promptTokens() + " expected_millis="
                        + expectedMillis + " parts=" + request.metadata().formatSharedParts());
        WorkerRequest workerRequest = new WorkerRequest(
                worker, getRemainingMillis(), true, Optional.empty(), Optional.empty(), findLastEventId());
        WorkerExchange exchange =
                WorkerExchange.start(context, request, workerRequest, generationSize.promptTokens(), executor, this);
        activePrefill = Optional.of(exchange);
        schedule(PREFILL_TIMEOUT_FACTOR * expectedMillis + PREFILL_TIMEOUT_MARGIN_MILLIS, () -> {
            if (activePrefill.isPresent() && activePrefill.get() == exchange) {
                log("prefill_silent", exchange, "millis=" + exchange.getAgeMillis() + " expected=" + expectedMillis);
                exchange.cancelAsUnresponsive();
                handlePrefillFailure(exchange);
            }
        });
    }

    private void endPrefill() {
        activePrefill = Optional.empty();
        prefillSlot.release();
    }

    private void handlePrefillFailure(WorkerExchange exchange) {
        endPrefill();
        excludedWorkers.add(exchange.getWorker().id());
        removePlannedLoad();
        enqueue();
    }

    private void handlePrefillEnd(WorkerExchange exchange) {
        endPrefill();
        try {
            CacheHandle handle =
                    context.wireFormat().readCacheHandle(exchange.getWorkerRequest(), prefillBody.toByteArray());
            long retentionMillis =
                    workers.findEngine().map(EngineProfile::kvRetentionMillis).orElse(0L);
            prompt.recordPrefill(handle, exchange.getWorker(), now(), retentionMillis);
            if (prefillWorkerWasIdle) {
                context.loadTracker()
                        .getSpeeds()
                        .recordPrefill(
                                service,
                                exchange.getWorker().id(),
                                generationSize.promptTokens(),
                                exchange.getAgeMillis(),
                                now());
            }
            log(
                    "prefill_done",
                    exchange,
                    "millis=" + exchange.getAgeMillis() + " tokens=" + generationSize.promptTokens());
            Optional<ListedWorker> decodeWorker = plannedDecodeWorker
                    .filter(context.routingState()::isUsable)
                    .filter(w -> !context.loadTracker().isUnhealthy(w.id(), now()))
                    .filter(workers::isWilling)
                    .or(() -> workers.chooseDecode());
            removePlannedLoad();
            if (decodeWorker.isPresent()) {
                startDecode(decodeWorker.get());
            } else {
                enqueue();
            }
        } catch (IOException e) {
            log("prefill_unreadable", exchange, "reason=\"" + e.getMessage() + '"');
            handlePrefillFailure(exchange);
        }
    }

    private void startDecode(ListedWorker worker) {
        if (!mayProceed()) {
            return;
        }
        exchanges++;
        Optional<CacheHandle> handle = prompt.findHandle(now() + CACHE_EXPIRY_MARGIN_MILLIS);
        Optional<ListedWorker> cachedAt = handle.isPresent() ? Optional.empty() : prompt.findPrefillWorker();
        hadAmpleMemory = workers.hasAmpleMemory(worker);
        logChoice(
                "decode",
                worker,
                "cached=" + handle.isPresent() + " from="
                        + prompt.findPrefillWorker().map(ListedWorker::id).orElse("none") + " requests="
                        + context.loadTracker().countRequests(worker.id(), now()) + " tokens="
                        + context.loadTracker().countTokens(worker.id(), now()) + " own_tokens="
                        + generationSize.estimateMemoryTokens() + " parts="
                        + request.metadata().formatSharedParts());
        WorkerRequest workerRequest =
                new WorkerRequest(worker, getRemainingMillis(), false, handle, cachedAt, findLastEventId());
        WorkerExchange exchange = WorkerExchange.start(
                context, request, workerRequest, generationSize.estimateMemoryTokens(), executor, this);
        activeDecodes.add(exchange);
        if (activeDecodes.size() == 1) {
            lastProgressMillis = now();
        }
        if (handle.isPresent() && request.route().resumable() && activeDecodes.size() == 1) {
            schedule(HEDGE_DELAY_MILLIS, () -> sendHedge(exchange));
        }
        if (request.route().resumable()) {
            schedule(getStallMillis(), () -> checkStall(exchange));
        }
    }

    /** Also sends the decode to a second worker if the first one is unresponsive. */
    private void sendHedge(WorkerExchange unresponsive) {
        boolean eligible = activeDecodes.size() == 1
                && activeDecodes.get(0) == unresponsive
                && !unresponsive.isHeadReceived()
                && maySend();
        if (!eligible || prompt.findHandle(now() + CACHE_EXPIRY_MARGIN_MILLIS).isEmpty()) {
            return;
        }
        excludedWorkers.add(unresponsive.getWorker().id());
        Optional<ListedWorker> second = workers.chooseDecode();
        if (second.isPresent() && context.retryBudgets().tryAcquire(service)) {
            log("take_over", unresponsive, "second=" + second.get().id() + " millis=" + unresponsive.getAgeMillis());
            startDecode(second.get());
        }
    }

    /** Looks for a replacement for a silent exchange, which goes on until the replacement responds. */
    private void checkStall(WorkerExchange exchange) {
        if (!activeDecodes.contains(exchange)) {
            return;
        }
        long pauseMillis = getPauseMillis();
        if (pauseMillis < getStallMillis()) {
            schedule(getStallMillis() - pauseMillis, () -> checkStall(exchange));
            return;
        }
        schedule(getStallMillis(), () -> checkStall(exchange));
        log("stalled", exchange, "millis=" + pauseMillis);
        lookForReplacement();
    }

    private long getStallMillis() {
        return (long) (STALL_SHARE * request.route().getEventTimeoutMillis());
    }

    private void lookForReplacement() {
        boolean mayReplace = activeDecodes.size() == 1
                && !waiting
                && activePrefill.isEmpty()
                && canContinueElsewhere()
                && possibleExecutions + 1 < request.route().maxAttempts();
        if (!mayReplace || getPauseMillis() < getStallMillis()) {
            return;
        }
        excludedWorkers.add(activeDecodes.get(0).getWorker().id());
        if (workers.hasUsable()) {
            waitForCapacity();
        }
    }

    private long getPauseMillis() {
        return now() - lastProgressMillis;
    }

    /** Returns whether another worker could tell where the stream goes on. */
    private boolean canContinueElsewhere() {
        return !stream.hasStarted() || position.isKnown();
    }

    /** Ends the other exchanges of the stream once one of them continues it. */
    private void continueWith(WorkerExchange exchange) {
        stopWaiting();
        for (WorkerExchange other : List.copyOf(activeDecodes)) {
            if (other == exchange) {
                continue;
            }
            log("taken_over", other, "by=" + exchange.getWorker().id());
            if (other.isHeadReceived()
                    || other.isSent() && other.getWorkerRequest().cache().isEmpty()) {
                possibleExecutions++;
            }
            if (activeDecodes.indexOf(other) == 0) {
                lastProgressMillis = now();
                other.cancelAsUnresponsive();
            } else {
                other.cancel();
            }
            removeBesideAnother(other);
        }
    }

    /** Removes an exchange while another one goes on, which keeps its own reservation. */
    private void removeBesideAnother(WorkerExchange exchange) {
        boolean isFirst = activeDecodes.indexOf(exchange) == 0;
        removeDecode(exchange);
        if (isFirst) {
            reservation.release();
            reservation = replacementReservation;
            replacementReservation = () -> {};
        } else {
            releaseReplacement();
        }
    }

    private void removeDecode(WorkerExchange exchange) {
        activeDecodes.remove(exchange);
        parts.remove(exchange);
    }

    private Optional<String> findLastEventId() {
        return position.findLastId().or(() -> request.metadata().lastEventId());
    }

    @Override
    public void onHead(WorkerExchange exchange, int responseStatus, Map<String, String> responseHeaders) {
        if (isPrefill(exchange)) {
            if (responseStatus != 200) {
                log("prefill_error", exchange, "status=" + responseStatus);
                exchange.cancel();
                handlePrefillFailure(exchange);
            }
            return;
        }
        mayHaveRun = true;
        boolean started = stream.hasStarted();
        boolean usable = started
                ? stream.isContinuation(responseStatus, responseHeaders)
                : activeDecodes.size() == 1 || responseStatus == 200;
        if (!usable) {
            log(
                    activeDecodes.size() > 1 ? "replacement_error" : "resume_error",
                    exchange,
                    "status=" + responseStatus + " type=" + responseHeaders.getOrDefault("content-type", "none"));
            exchange.breakOff("the stream could not be continued: status " + responseStatus);
            return;
        }
        boolean continues = request.route().resumable()
                && exchange.getWorkerRequest().lastEventId().isPresent();
        StreamPart part = new StreamPart(responseStatus, responseHeaders, position, continues);
        parts.put(exchange, part);
        prompt.invalidateHandle();
        if (activeDecodes.size() == 1) {
            stream.setHead(part);
        }
    }

    @Override
    public void onBytes(WorkerExchange exchange, byte[] bytes) {
        handleBytes(exchange, bytes);
        if (!ended && !tryCountBuffers()) {
            handleNoRoom(exchange);
        }
    }

    /** Allocates what is buffered at present, and returns false if there is no room for it. */
    private boolean tryCountBuffers() {
        long partial =
                parts.values().stream().mapToLong(StreamPart::getBufferedBytes).sum();
        long bytes = PARTIAL_EVENT_FACTOR * partial
                + stream.getErrorBytes()
                + stream.getUnreadBytes()
                + prefillBody.size()
                - UNCOUNTED_BYTES;
        long more = Math.max(0, bytes) - countedBytes;
        if (more > 0 && !buffers.tryGrow(more)) {
            return buffersClosed;
        }
        buffers.shrink(-more);
        countedBytes += more;
        return true;
    }

    /** Ends the stream of a caller that reads slowly; otherwise ends the exchange, whose worker has sent what is buffered. */
    private void handleNoRoom(WorkerExchange exchange) {
        long unread = stream.getUnreadBytes();
        log("no_room", exchange, "unread=" + unread + " counted=" + countedBytes + " relayed=" + stream.hasStarted());
        if (unread > UNCOUNTED_BYTES) {
            failStream("no memory for what the caller has not read");
        } else if (activeDecodes.contains(exchange)
                || activePrefill.filter(p -> p == exchange).isPresent()) {
            exchange.abandon("no memory for the response");
        }
    }

    private void handleBytes(WorkerExchange exchange, byte[] bytes) {
        if (isPrefill(exchange)) {
            prefillBody.writeBytes(bytes);
            if (prefillBody.size() > MAX_PREFILL_RESPONSE_BYTES) {
                exchange.breakOff("the response to a prefill is larger than " + MAX_PREFILL_RESPONSE_BYTES + " bytes");
            }
            return;
        }
        StreamPart part = parts.get(exchange);
        byte[] events = new byte[0];
        if (part.isError()) {
            stream.collectError(bytes);
        } else {
            events = part.feed(bytes);
        }
        // A worker that goes on needs no replacement. The replacement has to prove by an event that it continues the
        // stream.
        if (events.length > 0 || activeDecodes.indexOf(exchange) == 0 && !part.isFaulty()) {
            continueWith(exchange);
        }
        if (events.length > 0) {
            stream.setHead(part);
            relayEvents(exchange, events);
        }
        if (part.isFaulty()) {
            exchange.breakOff("an event does not continue the stream");
        } else if (part.getBufferedBytes() + stream.getErrorBytes() > MAX_EVENT_BYTES) {
            exchange.breakOff("an event is larger than " + MAX_EVENT_BYTES + " bytes");
        }
    }

    private void relayEvents(WorkerExchange exchange, byte[] events) {
        boolean started = stream.hasStarted();
        stream.relayEvents(events);
        if (started) {
            longestPauseMillis = Math.max(longestPauseMillis, now() - lastEventMillis);
        }
        lastEventMillis = now();
        lastProgressMillis = lastEventMillis;
        if (!progressRecorded && exchange.isPastBeginning()) {
            progressRecorded = true;
            context.poisonGuard().recordProgress(features);
        }
        if (!started) {
            firstEventMillis = lastEventMillis;
            log("first_event", exchange, "millis=" + exchange.getAgeMillis());
            context.metrics().histogram("streams.first_event_millis").update(now() - request.arrivalMillis());
        }
    }

    @Override
    public void onEnd(WorkerExchange exchange) {
        if (isPrefill(exchange)) {
            handlePrefillEnd(exchange);
            return;
        }
        StreamPart part = parts.get(exchange);
        if (!part.isError() && isBrokenOff(exchange, part)) {
            handleEarlyEnd(exchange, part);
            return;
        }
        removeDecode(exchange);
        if (!mayForward(part.getStatus())) {
            failWithoutResponse(describeUnprovenRefusal(part.getStatus()), NO_WORKER_RETRY_AFTER_MILLIS);
            return;
        }
        stream.setHead(part);
        if (!part.isError()) {
            recordAnswer(exchange);
            recordDecode(exchange);
        }
        finish(
                "answered",
                "worker=" + exchange.getWorker().id() + " status=" + stream.getStatus() + " decode_millis="
                        + exchange.getAgeMillis() + " longest_pause_millis=" + longestPauseMillis + " output_tokens="
                        + generationSize.maxOutputTokens());
        stream.complete();
    }

    /**
     * Returns whether a stream that seems to have ended was broken off: within an event, or before its first one. Only the rest
     * of a stream that its caller resumes may be empty.
     */
    private boolean isBrokenOff(WorkerExchange exchange, StreamPart part) {
        if (part.hasPartialEvent() || part.hasEvents()) {
            return part.hasPartialEvent();
        }
        boolean resumedByCaller = !stream.hasStarted() && position.isKnown();
        return !resumedByCaller || !StreamResponse.mayBeEmptyRest(part) || !exchange.isDelimited();
    }

    private void handleEarlyEnd(WorkerExchange exchange, StreamPart part) {
        boolean withinEvent = part.hasPartialEvent();
        if (withinEvent || part.getStatus() == 200 && !exchange.isDelimited()) {
            exchange.recordBroken(true);
        }
        String reason = "the stream ended " + (withinEvent ? "within an event" : "without an event");
        log("ended_early", exchange, "reason=\"" + reason + '"');
        handleBroken(exchange, reason);
    }

    /** Records the speed of a worker that has written a whole stream. */
    private void recordDecode(WorkerExchange exchange) {
        int tokens = generationSize.expectedOutputTokens() - 1;
        boolean whole = possibleExecutions == 0
                && exchange.getWorkerRequest().lastEventId().isEmpty();
        if (whole && tokens >= MIN_MEASURED_TOKENS) {
            long millis = Math.min(exchange.getBodyMillis(), lastEventMillis - firstEventMillis);
            context.loadTracker()
                    .getSpeeds()
                    .recordDecode(service, exchange.getWorker().id(), tokens, millis, now());
        }
    }

    private void recordAnswer(WorkerExchange exchange) {
        if (exchange.isDelimited()) {
            context.poisonGuard().recordAnswer(features);
        } else {
            context.poisonGuard().recordAnswerWithoutLength(features, exchange.getWorker(), exchange.isPastBeginning());
        }
    }

    @Override
    public void onNotRun(WorkerExchange exchange, String reason) {
        log("not_run", exchange, "prefill=" + isPrefill(exchange) + " reason=\"" + reason + '"');
        if (isPrefill(exchange)) {
            prefills -= WorkerExchange.isUnsent(reason) ? 1 : 0;
            handlePrefillFailure(exchange);
            return;
        }
        if (activeDecodes.size() > 1) {
            removeBesideAnother(exchange);
            recordRefusal(exchange, reason);
            schedule(REPLACEMENT_RETRY_MILLIS, this::lookForReplacement);
            return;
        }
        removeDecode(exchange);
        if (mayHaveRun && !request.route().resumable()) {
            failStream(reason);
            return;
        }
        if (reason.equals(WorkerExchange.REFUSED)
                && hadAmpleMemory
                && exchange.getWorkerRequest().cache().isPresent()) {
            // A worker with free memory refuses because the cache has expired. A full or failed worker has not fetched
            // the cache.
            prompt.invalidateHandle();
        } else {
            recordRefusal(exchange, reason);
        }
        boolean reachedWorker = !WorkerExchange.isUnsent(reason);
        refusedDecodes += reachedWorker ? 1 : 0;
        if (refusedDecodes >= MAX_REFUSED_DECODES) {
            failStream(reason);
        } else if (reachedWorker) {
            enqueueWithinBudget();
        } else {
            enqueue();
        }
    }

    /** Records why a worker did not run the request, so that another one is chosen next. */
    private void recordRefusal(WorkerExchange exchange, String reason) {
        if (reason.equals(WorkerExchange.REFUSED) && hadAmpleMemory) {
            // A worker with free memory that refuses every request does not decode, for example during a role change.
            excludedWorkers.add(exchange.getWorker().id());
            context.loadTracker().suspend(exchange.getWorker().id(), now() + NOT_DECODING_SUSPEND_MILLIS);
        } else if (reason.equals(WorkerExchange.REFUSED)) {
            context.loadTracker().markFull(exchange.getWorker().id(), now() + FULL_BACKOFF_MILLIS);
        } else if (!isClosed(reason)) {
            excludedWorkers.add(exchange.getWorker().id());
            if (reason.equals(WorkerExchange.UNREACHABLE)) {
                unreachableWorkers.add(exchange.getWorker().id());
            }
        }
    }

    /** Returns whether the worker wants no requests yet, so that the request can wait for it. */
    private static boolean isClosed(String reason) {
        return reason.equals(WorkerExchange.REFUSED_FOR_SOME_TIME) || reason.equals(WorkerExchange.CLOSED);
    }

    /** Waits for the retry budget instead of failing the request, since nothing has run and the prefill is done. */
    private void enqueueWithinBudget() {
        if (context.retryBudgets().tryAcquire(service)) {
            enqueue();
        } else if (now() + BUDGET_RETRY_MILLIS < getLatestStartMillis()) {
            schedule(BUDGET_RETRY_MILLIS, this::enqueueWithinBudget);
        } else {
            failStream("the retry budget is exhausted");
        }
    }

    @Override
    public void onBroken(WorkerExchange exchange, String reason) {
        log(
                "broken",
                exchange,
                "prefill=" + isPrefill(exchange) + " millis=" + exchange.getAgeMillis() + " body_millis="
                        + exchange.getBodyMillis() + " parts="
                        + request.metadata().formatSharedParts() + " reason=\"" + reason + '"');
        if (isPrefill(exchange)) {
            handlePrefillFailure(exchange);
            return;
        }
        handleBroken(exchange, reason);
    }

    /** Handles the failure of a decode, beside which another one may go on. */
    private void handleBroken(WorkerExchange exchange, String reason) {
        if (activeDecodes.size() > 1) {
            mayHaveRun = true;
            possibleExecutions++;
            excludedWorkers.add(exchange.getWorker().id());
            removeBesideAnother(exchange);
            schedule(REPLACEMENT_RETRY_MILLIS, this::lookForReplacement);
            return;
        }
        removeDecode(exchange);
        handleDecodeFailure(exchange, reason);
    }

    /** Handles a decode that may have run: enqueues the request again if its stream is resumable, else fails it. */
    private void handleDecodeFailure(WorkerExchange exchange, String reason) {
        mayHaveRun = true;
        possibleExecutions++;
        excludedWorkers.add(exchange.getWorker().id());
        boolean mayRetry = request.route().resumable()
                && canContinueElsewhere()
                && possibleExecutions < request.route().maxAttempts();
        if (mayRetry && stream.hasStarted()) {
            enqueueWithinBudget();
            return;
        }
        if (mayRetry && context.retryBudgets().tryAcquire(service)) {
            enqueue();
            return;
        }
        failStream(reason);
    }

    @Override
    void reject(Fault fault) {
        if (stream.hasStarted()) {
            failStream(fault.message());
        } else {
            fail(fault);
        }
    }

    private void failStream(String reason) {
        if (!stream.hasStarted()) {
            failWithoutResponse(reason, NO_WORKER_RETRY_AFTER_MILLIS);
            return;
        }
        finish("broken_off", "reason=\"" + reason + '"');
        response.abort();
    }

    @Override
    void handleTimeout() {
        if (stream.hasStarted()) {
            failStream("time limit reached");
            return;
        }
        if (activeDecodes.isEmpty() && !mayHaveRun) {
            failWithoutResponse("no worker could accept the request in time", NO_WORKER_RETRY_AFTER_MILLIS);
            return;
        }
        super.handleTimeout();
    }

    @Override
    void handleExit() {
        if (!stream.hasStarted()) {
            super.handleExit();
        }
    }

    @Override
    void cancelExchanges() {
        stopWaiting();
        prefillSlotRequest.ifPresent(PrefillSlot::withdraw);
        prefillSlotRequest = Optional.empty();
        activePrefill.ifPresent(WorkerExchange::cancel);
        endPrefill();
        activeDecodes.forEach(WorkerExchange::cancel);
        activeDecodes.clear();
        parts.clear();
        removePlannedLoad();
        reservation.release();
        releaseReplacement();
        context.admissionQueues().handleCapacityFreed(service);
    }

    private boolean isPrefill(WorkerExchange exchange) {
        return exchange.getWorkerRequest().prefillOnly();
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
