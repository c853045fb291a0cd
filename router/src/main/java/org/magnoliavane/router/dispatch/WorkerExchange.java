package org.magnoliavane.router.dispatch;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.ConnectException;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.balance.WorkerNotices;
import org.magnoliavane.http.HttpExchange;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.MalformedResponseException;
import org.magnoliavane.http.ResponseListener;
import org.magnoliavane.http.WithdrawnException;
import org.magnoliavane.poison.PoisonDetector;

/**
 * Sends a request to one worker, updates the load tracker, and notifies a listener of the outcome. The listener is called on
 * the executor of the request, and not after {@link #cancel}.
 *
 * <p>Not thread-safe, except for the methods of {@link ResponseListener}. Everything else runs on the executor.
 */
final class WorkerExchange implements ResponseListener {
    private static final Logger LOG = System.getLogger(WorkerExchange.class.getName());

    /** Time for which a worker that accepts no connection is suspended. */
    private static final long UNREACHABLE_SUSPEND_MILLIS = 1500;

    /**
     * Time for which a worker is suspended whose address answers for another one. It has ended or changed its role, and is
     * suspended until it is listed anew or, while the list cannot be read, for longer than its listing would last.
     */
    private static final long MISDIRECTED_SUSPEND_MILLIS = 4000;

    /** Weight of a refusal in the failure rate; low because a full worker is not faulty. */
    private static final double REFUSAL_FAILURE_WEIGHT = 0.25;

    /** Weight of an error status in the failure rate; low because some requests fail at any worker. */
    private static final double ERROR_FAILURE_WEIGHT = 0.2;

    /** Reason if the worker reports that it did not run the request. */
    static final String REFUSED = "refused";

    /** Reason if the worker accepts no connection. */
    static final String UNREACHABLE = "unreachable";

    /** Reason if the worker was no longer usable when the request was about to be sent. */
    static final String LEAVING = "leaving";

    /** Reason if the connection could not be used although the worker accepted it. */
    static final String UNUSABLE = "connection unusable";

    /** Reason if the worker did not run the request and wants no others for some time. */
    static final String REFUSED_FOR_SOME_TIME = "refused, no requests wanted for some time";

    /** Reason if the worker wanted no requests for some time when the request was about to be sent. */
    static final String CLOSED = "closed";

    /** Statuses of responses that end with their head. */
    private static final Set<Integer> STATUSES_WITHOUT_BODY = Set.of(204, 304);

    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Receives the events of an exchange. */
    interface Listener {
        /** Returns whether the request may still be sent; called on any thread when the connection is established. */
        boolean maySend();

        /** Called when the worker runs the request and has sent status and headers. */
        void onHead(WorkerExchange exchange, int status, Map<String, String> headers);

        void onBytes(WorkerExchange exchange, byte[] bytes);

        /** Called when the response is complete. */
        void onEnd(WorkerExchange exchange);

        /** Called when the worker did not run the request. */
        void onNotRun(WorkerExchange exchange, String reason);

        /** Called when the request may have run, but there will be no complete response. */
        void onBroken(WorkerExchange exchange, String reason);
    }

    private final DispatchContext context;
    private final CallerRequest callerRequest;
    private final WorkerRequest workerRequest;
    private final int tokens;
    private final Listener listener;
    private final Executor executor;
    private final AtomicBoolean loadReleased = new AtomicBoolean();
    private final long startMillis;
    private HttpExchange httpExchange;
    private volatile boolean withdrawnAsClosed;
    private volatile boolean withdrawn;
    private volatile boolean sent;
    private boolean ended;
    private boolean headReceived;
    private int status;
    private long firstBytesMillis;
    private boolean delimited;

    private WorkerExchange(
            DispatchContext context,
            CallerRequest callerRequest,
            WorkerRequest workerRequest,
            int tokens,
            Executor executor,
            Listener listener) {
        this.context = context;
        this.callerRequest = callerRequest;
        this.workerRequest = workerRequest;
        this.tokens = tokens;
        this.listener = listener;
        this.executor = executor;
        this.startMillis = context.clockMillis().getAsLong();
    }

    /**
     * Sends a request. The worker is checked again when the connection is established, because it may have announced its
     * shutdown since it was chosen.
     *
     * @param tokens the number of tokens that the request occupies at the worker; 0 for plain services
     */
    static WorkerExchange start(
            DispatchContext context,
            CallerRequest callerRequest,
            WorkerRequest workerRequest,
            int tokens,
            Executor executor,
            Listener listener) {
        WorkerExchange exchange = new WorkerExchange(context, callerRequest, workerRequest, tokens, executor, listener);
        context.loadTracker().recordStart(workerRequest.worker().id(), tokens);
        context.metrics().counter("worker.sends").inc();
        try {
            exchange.send();
        } catch (RuntimeException | Error e) {
            exchange.releaseLoad();
            throw e;
        }
        return exchange;
    }

    private void send() {
        HttpRequest request = new HttpRequest(
                callerRequest.method(),
                getWorker().server().host(),
                getWorker().server().port(),
                callerRequest.target(),
                context.wireFormat().toWorkerHeaders(callerRequest, workerRequest),
                callerRequest.body(),
                0);
        httpExchange = context.client().stream(request, this, this::maySend);
    }

    /** Returns whether the request may still be sent, after the time that it took to connect. */
    private boolean maySend() {
        withdrawn = !isSendingPermitted();
        return !withdrawn;
    }

    private boolean isSendingPermitted() {
        WorkerNotices notices = context.loadTracker().getNotices();
        long now = context.clockMillis().getAsLong();
        if (!context.routingState().isUsable(getWorker()) || notices.isLeaving(getWorker(), now)) {
            return false;
        }
        withdrawnAsClosed = notices.isClosed(getWorker(), now);
        sent = !withdrawnAsClosed && listener.maySend();
        return sent;
    }

    /** Returns whether the request may have reached the worker. */
    boolean isSent() {
        return sent;
    }

    /** Returns whether the reason of {@link Listener#onNotRun} means that no byte of the request was sent. */
    static boolean isUnsent(String reason) {
        return reason.equals(UNREACHABLE) || reason.equals(LEAVING) || reason.equals(CLOSED) || reason.equals(UNUSABLE);
    }

    ListedWorker getWorker() {
        return workerRequest.worker();
    }

    WorkerRequest getWorkerRequest() {
        return workerRequest;
    }

    boolean isHeadReceived() {
        return headReceived;
    }

    long getAgeMillis() {
        return context.clockMillis().getAsLong() - startMillis;
    }

    /** Returns whether the body has a length or chunks, so that its end can be told from a broken connection. */
    boolean isDelimited() {
        return delimited;
    }

    /** Returns whether the worker has sent its answer for longer than a request takes to crash a worker that begins with it. */
    boolean isPastBeginning() {
        return getBodyMillis() >= PoisonDetector.BEGINNING_MILLIS;
    }

    /** Gets the time since the first byte of the body arrived; 0 if none has. */
    long getBodyMillis() {
        return firstBytesMillis == 0 ? 0 : context.clockMillis().getAsLong() - firstBytesMillis;
    }

    /** Stops reading from the worker until {@link #resumeReading}. */
    void pauseReading() {
        httpExchange.pauseReading();
    }

    void resumeReading() {
        httpExchange.resumeReading();
    }

    /** Closes the connection, so that the worker stops. The listener is not called any more. */
    void cancel() {
        ended = true;
        releaseLoad();
        httpExchange.close();
    }

    /** Records a failure of the worker because it is unresponsive, and closes the connection. */
    void cancelAsUnresponsive() {
        recordOutcome(1);
        recordBroken(false);
        cancel();
    }

    /**
     * Records that the request broke off at the worker, which may have crashed.
     *
     * @param closedByWorker whether the worker's host closed or reset the connection
     */
    void recordBroken(boolean closedByWorker) {
        context.poisonGuard()
                .recordBroken(PoisonGuard.getFeatures(callerRequest), getWorker(), isPastBeginning(), closedByWorker);
    }

    /** Ends an exchange for a reason of this node, which says nothing about the worker, and notifies the listener. */
    void abandon(String reason) {
        cancel();
        listener.onBroken(this, reason);
    }

    /** Ends an exchange whose worker sends more than any response can have, and notifies the listener. */
    void breakOff(String reason) {
        closeWithOutcome(1);
        listener.onBroken(this, reason);
    }

    @Override
    public void onHead(int responseStatus, Map<String, String> headers) {
        // Before anything of the answer can reach the caller.
        recordNotices(responseStatus, headers);
        executor.execute(() -> handleHead(responseStatus, headers));
    }

    @Override
    public void onBytes(byte[] bytes) {
        executor.execute(() -> {
            if (!ended && headReceived) {
                firstBytesMillis = firstBytesMillis == 0 ? context.clockMillis().getAsLong() : firstBytesMillis;
                listener.onBytes(this, bytes);
            }
        });
    }

    @Override
    public void onEnd() {
        executor.execute(() -> {
            if (ended || !headReceived) {
                return;
            }
            if (delimited) {
                complete();
            } else {
                context.workerEnds()
                        .checkEndedWithResponse(getWorker())
                        .thenAccept(workerEnded -> executor.execute(() -> handleUndelimitedEnd(workerEnded)));
            }
        });
    }

    private void complete() {
        recordOutcome(status >= 500 ? ERROR_FAILURE_WEIGHT : 0);
        finish();
        listener.onEnd(this);
    }

    /** Handles the end of a response that ended with its connection, which proves nothing if the worker ended with it. */
    private void handleUndelimitedEnd(boolean workerEnded) {
        if (ended) {
            return;
        }
        if (!workerEnded) {
            complete();
            return;
        }
        finish();
        recordOutcome(1);
        recordBroken(true);
        context.metrics().counter("worker.ended_with_response").inc();
        listener.onBroken(this, "the worker ended with its connection, and the response has no other end");
    }

    @Override
    public void onFailure(IOException cause) {
        executor.execute(() -> {
            if (ended) {
                return;
            }
            finish();
            if (cause instanceof WithdrawnException) {
                String reason = withdrawnAsClosed ? CLOSED : LEAVING;
                listener.onNotRun(this, withdrawn ? reason : UNUSABLE);
                return;
            }
            recordOutcome(1);
            if (cause instanceof ConnectException) {
                suspendAtAllNodes(UNREACHABLE_SUSPEND_MILLIS);
                listener.onNotRun(this, UNREACHABLE);
            } else if (!sent) {
                // The connection broke before it was used.
                listener.onNotRun(this, UNUSABLE);
            } else if (cause instanceof MalformedResponseException) {
                context.metrics().counter("worker.malformed_responses").inc();
                listener.onBroken(this, cause.getMessage());
            } else {
                recordBroken(true);
                listener.onBroken(this, cause.getMessage());
            }
        });
    }

    /** Records what the worker announces about itself, also if the request no longer needs the answer. */
    private void recordNotices(int responseStatus, Map<String, String> headers) {
        WireFormat format = context.wireFormat();
        OptionalLong stated = findClosedMillis(responseStatus, headers);
        boolean leaving = format.isLeaving(headers);
        // Another worker at the address speaks of itself.
        if (responseStatus == MISDIRECTED_REQUEST || !leaving && stated.isEmpty()) {
            return;
        }
        // An earlier refusal says nothing of the present; a worker that has announced its leaving leaves.
        boolean earlier =
                format.classify(callerRequest, workerRequest, responseStatus, headers) == ResponseKind.UNVERIFIED;
        OptionalLong closedMillis = earlier ? OptionalLong.empty() : stated;
        long now = context.clockMillis().getAsLong();
        WorkerNotices notices = context.loadTracker().getNotices();
        if (closedMillis.isPresent()) {
            notices.close(getWorker(), closedMillis.getAsLong(), now)
                    .ifPresent(until -> logClosed(responseStatus, closedMillis.getAsLong(), until - now));
        }
        if (leaving && notices.recordLeaving(getWorker(), now)) {
            context.metrics().counter("workers.leaving_announced").inc();
            LOG.log(
                    Level.INFO,
                    "event=worker_leaving_announced worker={0} started_at={1} status={2} request={3}"
                            + " list_millis={4}",
                    getWorker().id(),
                    Long.toString(getWorker().startedAtMillis()),
                    responseStatus,
                    callerRequest.getId(),
                    context.workerListAgeMillis().getAsLong());
        }
    }

    /** Finds the time for which a worker that turns the request away wants no others. */
    private OptionalLong findClosedMillis(int responseStatus, Map<String, String> headers) {
        return responseStatus == SERVICE_UNAVAILABLE
                ? context.wireFormat().readRetryAfterMillis(headers)
                : OptionalLong.empty();
    }

    private void logClosed(int responseStatus, long statedMillis, long closedMillis) {
        context.metrics().counter("workers.closed").inc();
        LOG.log(
                Level.INFO,
                "event=worker_closed worker={0} millis={1} stated_millis={2} status={3} request={4}",
                getWorker().id(),
                Long.toString(closedMillis),
                Long.toString(statedMillis),
                responseStatus,
                callerRequest.getId());
    }

    private void handleHead(int responseStatus, Map<String, String> headers) {
        if (ended) {
            return;
        }
        status = responseStatus;
        delimited = STATUSES_WITHOUT_BODY.contains(responseStatus)
                || headers.containsKey("content-length")
                || headers.getOrDefault("transfer-encoding", "").contains("chunked");
        switch (context.wireFormat().classify(callerRequest, workerRequest, responseStatus, headers)) {
            case VALID:
                headReceived = true;
                listener.onHead(this, responseStatus, headers);
                break;
            case NOT_RUN:
                closeWithOutcome(REFUSAL_FAILURE_WEIGHT);
                listener.onNotRun(
                        this, findClosedMillis(responseStatus, headers).isPresent() ? REFUSED_FOR_SOME_TIME : REFUSED);
                break;
            case WRONG_WORKER:
                suspendAtAllNodes(MISDIRECTED_SUSPEND_MILLIS);
                closeWithOutcome(1);
                listener.onNotRun(this, "another worker has the address");
                break;
            case ENCODED:
                closeWithOutcome(1);
                context.metrics().counter("worker.encoded_responses").inc();
                listener.onBroken(this, "status " + responseStatus + " with an encoding that was not requested");
                break;
            default:
                closeWithOutcome(1);
                context.metrics().counter("worker.unverified_responses").inc();
                listener.onBroken(
                        this,
                        "status " + responseStatus + " in response to another request or without proof of origin");
                break;
        }
    }

    /** Suspends the worker here and at the other nodes, before each of them loses a request to it. */
    private void suspendAtAllNodes(long millis) {
        long untilMillis = context.clockMillis().getAsLong() + millis;
        context.loadTracker().suspend(getWorker().id(), untilMillis);
        context.onUnreachable().accept(getWorker().id(), untilMillis);
    }

    private void closeWithOutcome(double failure) {
        recordOutcome(failure);
        cancel();
    }

    private void finish() {
        ended = true;
        releaseLoad();
    }

    private void recordOutcome(double failure) {
        context.loadTracker()
                .recordOutcome(getWorker().id(), failure, context.clockMillis().getAsLong());
    }

    private void releaseLoad() {
        if (loadReleased.compareAndSet(false, true)) {
            context.loadTracker().recordEnd(getWorker().id(), tokens);
        }
    }
}
