package org.magnoliavane.router.dispatch;

import java.util.Optional;

import org.magnoliavane.Fault;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.balance.ListedWorker;

/**
 * Executes a streamed model request: prefill at one worker, then decode at another, which fetches the KV cache. Memory at the
 * decode worker is reserved before the prefill starts, so that no prefill is wasted.
 *
 * <p>Joins the wait for capacity ({@link CapacityWait}), the prefill ({@link PrefillExchange}) and the decode
 * ({@link DecodeExchanges}), and decides whether a request that did not run or broke off is sent again, refused or failed:
 *
 * <pre>
 *   waiting --onAdmitted--> prefill --onPrefilled--> decode --onDecoded--> answered
 *      ^                       |                        |
 *      +----onPrefillFailed----+                        |
 *      +----onDecodeNotRun, onDecodeFailed (resumable)--+
 *      +----onSilent: waits for a replacement while the decode goes on
 * </pre>
 *
 * <p>{@link RequestPreviewer} explains the first steps without taking them; a change of their order has to be made there, too.
 *
 * <p>Runs on the executor of the request, except for {@link #maySend}, which is called on any thread.
 */
final class StreamExecution extends RequestExecution
        implements CapacityWait.Listener, PrefillExchange.Listener, DecodeExchanges.Listener {
    /**
     * Bounds of the time after which a caller may retry if all workers are full. The time is random, so that few callers
     * retry at the same time.
     */
    private static final long MIN_FULL_RETRY_AFTER_MILLIS = 800;

    private static final long MAX_FULL_RETRY_AFTER_MILLIS = 2500;

    /** Largest number of decodes of a request that reached a worker but did not run. */
    private static final int MAX_REFUSED_DECODES = 6;

    /** Interval at which a request that needs a retry checks the retry budget again. */
    private static final long BUDGET_RETRY_MILLIS = 100;

    /** Interval at which a stream that has begun tries workers again that accepted no connection. */
    private static final long UNREACHABLE_RETRY_MILLIS = 100;

    private final GenerationSize generationSize;
    private final ResponseBuffers buffers;
    private final StreamWorkers workers;
    private final RelayedStream stream;
    private final PrefilledPrompt prompt = new PrefilledPrompt();
    private final PrefillExchange prefill;
    private final DecodeExchanges decodes;
    private final CapacityWait capacityWait;
    private int refusedDecodes;

    StreamExecution(DispatchContext context, CallerRequest request, String service, CallerResponse response) {
        super(context, request, service, response);
        this.stream = new RelayedStream(context, request, response);
        this.generationSize = request.metadata().generation().orElse(new GenerationSize(0, 0, 0));
        this.buffers = new ResponseBuffers(context.budget());
        response.onComplete(buffers::close);
        this.workers = new StreamWorkers(
                context, request, service, generationSize, excludedWorkers, () -> exchanges > 0 || stream.hasStarted());
        this.prefill = new PrefillExchange(scope, generationSize, workers, stream, prompt, this);
        this.decodes = new DecodeExchanges(scope, generationSize, workers, stream, prompt, this);
        this.capacityWait = new CapacityWait(scope, generationSize, workers, prefill, this);
    }

    @Override
    void execute() {
        enqueue();
    }

    @Override
    boolean isBeginning() {
        return decodes.isActive();
    }

    @Override
    boolean isPastBeginning() {
        return decodes.isPastBeginning();
    }

    /** Waits for free capacity; the queue admits the request immediately if there is some. */
    private void enqueue() {
        if (!mayProceed()) {
            return;
        }
        decodes.releaseReservation();
        if (refuseHopeless(request.urgency())) {
            return;
        }
        if (workers.hasUsable()) {
            waitForCapacity();
        } else if (mayTryUnreachableAgain()) {
            decodes.getRefusals().permitUnreachable();
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
        if (stream.hasStarted() || mayHaveRun || exchanges > 0 || prefill.hasBeenSent()) {
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
                && decodes.getRefusals().hasUnreachable()
                && now() + UNREACHABLE_RETRY_MILLIS < getLatestStartMillis();
    }

    private void waitForCapacity() {
        // A finished prefill would be wasted if its request had to wait behind later requests as an overdue one.
        long onTimeStartMillis =
                stream.hasStarted() || prompt.findPrefillWorker().isPresent()
                        ? getLatestStartMillis()
                        : request.arrivalMillis()
                                + request.route().targetMillis()
                                - prefill.estimateMillis()
                                - StreamTimes.FIRST_EVENT_MILLIS;
        capacityWait.start(onTimeStartMillis);
    }

    /** Refuses an overdue request while it waits, for which all waiting requests count as ahead. */
    @Override
    public boolean onOverdue() {
        return refuseHopeless(Integer.MAX_VALUE);
    }

    @Override
    public long getLatestStartMillis() {
        long lastEventOrArrivalMillis = stream.hasStarted() ? stream.getLastEventMillis() : request.arrivalMillis();
        long remainingPrefillMillis = prompt.findPrefillWorker().isPresent() ? 0 : prefill.estimateMillis();
        return StreamTimes.getLatestStartMillis(request, lastEventOrArrivalMillis, remainingPrefillMillis);
    }

    /** Fails a waiting request in time for the caller to receive the time after which it may retry. */
    @Override
    public void onWaitTimeout() {
        if (decodes.isActive()) {
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
                MIN_FULL_RETRY_AFTER_MILLIS + (long) (spread * context.random().getAsDouble()));
    }

    @Override
    boolean isEligible(ListedWorker worker) {
        return worker.server().role() != WorkerRole.PREFILL;
    }

    @Override
    public void onAdmitted(ListedWorker decodeWorker, ReservationService.Reservation reservation) {
        if (ended) {
            reservation.release();
        } else if (decodes.isActive()) {
            decodes.replace(decodeWorker, reservation);
        } else {
            decodes.setReservation(reservation);
            startExchanges(decodeWorker, prefill.chooseWorker(decodeWorker));
        }
    }

    private void startExchanges(ListedWorker decodeWorker, Optional<ListedWorker> prefillWorker) {
        if (prefillWorker.isEmpty() || prefill.hasBeenSent() && !scope.tryAcquireRetry()) {
            decodes.start(decodeWorker);
        } else {
            prefill.start(decodeWorker, prefillWorker.get());
        }
    }

    @Override
    public void onPrefilled(Optional<ListedWorker> decodeWorker) {
        decodeWorker.ifPresentOrElse(decodes::start, this::enqueue);
    }

    @Override
    public void onPrefillFailed() {
        enqueue();
    }

    @Override
    public boolean tryBeginDecode() {
        if (!mayProceed()) {
            return false;
        }
        exchanges++;
        return true;
    }

    @Override
    public void onPossiblyRun() {
        mayHaveRun = true;
    }

    @Override
    public void onSilent(WorkerExchange exchange) {
        if (capacityWait.isWaiting() || prefill.isActive()) {
            return;
        }
        excludedWorkers.add(exchange.getWorker().id());
        if (workers.hasUsable()) {
            waitForCapacity();
        }
    }

    @Override
    public void onContinued() {
        capacityWait.stop();
    }

    @Override
    public void onBuffered(WorkerExchange exchange) {
        if (!ended && !buffers.tryCount(decodes.getBufferedBytes() + prefill.getBufferedBytes())) {
            handleNoRoom(exchange);
        }
    }

    /** Ends the stream of a caller that reads slowly; otherwise ends the exchange, whose worker has sent what is buffered. */
    private void handleNoRoom(WorkerExchange exchange) {
        long unread = stream.getResponse().getUnreadBytes();
        log(
                "no_room",
                exchange,
                "unread=" + unread + " counted=" + buffers.getCountedBytes() + " relayed=" + stream.hasStarted());
        if (unread > ResponseBuffers.UNCOUNTED_BYTES) {
            failStream("no memory for what the caller has not read");
        } else if (decodes.isActive(exchange) || prefill.isActive(exchange)) {
            exchange.abandon("no memory for the response");
        }
    }

    @Override
    public void onDecoded(WorkerExchange exchange, StreamPart part) {
        if (!mayForward(part.getStatus())) {
            failWithoutResponse(describeUnprovenRefusal(part.getStatus()), NO_WORKER_RETRY_AFTER_MILLIS);
            return;
        }
        stream.getResponse().setHead(part);
        if (!part.isError()) {
            decodes.recordDecoded(exchange);
        }
        finish(
                "answered",
                "worker=" + exchange.getWorker().id() + " status="
                        + stream.getResponse().getStatus() + " decode_millis=" + exchange.getAgeMillis()
                        + " longest_pause_millis=" + stream.getLongestPauseMillis() + " output_tokens="
                        + generationSize.maxOutputTokens());
        stream.getResponse().complete();
    }

    @Override
    public void onDecodeNotRun(WorkerExchange exchange, String reason) {
        if (mayHaveRun && !request.route().resumable()) {
            failStream(reason);
            return;
        }
        decodes.recordNotRun(exchange, reason);
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

    /** Waits for the retry budget instead of failing the request, since nothing has run and the prefill is done. */
    private void enqueueWithinBudget() {
        if (scope.tryAcquireRetry()) {
            enqueue();
        } else if (now() + BUDGET_RETRY_MILLIS < getLatestStartMillis()) {
            schedule(BUDGET_RETRY_MILLIS, this::enqueueWithinBudget);
        } else {
            failStream("the retry budget is exhausted");
        }
    }

    /** Handles a decode that may have run: enqueues the request again if its stream is resumable, else fails it. */
    @Override
    public void onDecodeFailed(WorkerExchange exchange, String reason) {
        boolean mayRetry = request.route().resumable()
                && stream.canContinueElsewhere()
                && decodes.getPossibleExecutions() < request.route().maxAttempts();
        if (mayRetry && stream.hasStarted()) {
            enqueueWithinBudget();
            return;
        }
        if (mayRetry && scope.tryAcquireRetry()) {
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
        if (!decodes.isActive() && !mayHaveRun) {
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
        capacityWait.stop();
        prefill.cancel();
        decodes.cancel();
        context.admissionQueues().handleCapacityFreed(service);
    }
}
