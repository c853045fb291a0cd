package org.magnoliavane.router.dispatch;

import java.io.IOException;
import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;

import org.magnoliavane.balance.ListedWorker;
import org.magnoliavane.http.HttpExchange;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.ResponseListener;

/**
 * Sends a request to one worker, keeps the ledger, and says what came of it. The listener is called in the executor of
 * the run, and not after {@link #cancel}.
 */
final class WorkerExchange implements ResponseListener {
    /** How long a worker that accepts no connection is avoided. */
    private static final long UNREACHABLE_SUSPEND_MILLIS = 1500;

    /** Failure that a worker's refusal counts as: a full worker is no faulty one. */
    private static final double REFUSAL_FAILURE_WEIGHT = 0.25;

    /** Failure that an error status counts as: some requests fail at any worker. */
    private static final double ERROR_FAILURE_WEIGHT = 0.2;

    /** Reason of a worker that states that it did not run the request. */
    static final String REFUSED = "refused";

    /** Reason of a worker that accepts no connection. */
    static final String UNREACHABLE = "unreachable";

    /** Takes what happens to a send. */
    interface Listener {
        /** The worker runs the request. */
        void onHead(WorkerExchange send, int status, Map<String, String> headers);

        void onBytes(WorkerExchange send, byte[] bytes);

        /** The answer is complete. */
        void onEnd(WorkerExchange send);

        /** The worker did not run the request. */
        void onNotRun(WorkerExchange send, String reason);

        /** The request may have run, and no complete answer will come. */
        void onBroken(WorkerExchange send, String reason);
    }

    private final DispatchParts context;
    private final CallerCall callerRequest;
    private final WorkerCall workerRequest;
    private final int tokens;
    private final Listener listener;
    private final Executor executor;
    private final AtomicBoolean loadReleased = new AtomicBoolean();
    private final long startMillis;
    private HttpExchange httpExchange;
    private boolean ended;
    private boolean headReceived;
    private int status;

    private WorkerExchange(
            DispatchParts parts, CallerCall call, WorkerCall to, int tokens, Executor executor, Listener listener) {
        this.context = parts;
        this.callerRequest = call;
        this.workerRequest = to;
        this.tokens = tokens;
        this.listener = listener;
        this.executor = executor;
        this.startMillis = parts.clockMillis().getAsLong();
    }

    /**
     * Sends a request.
     *
     * @param tokens the tokens that it occupies at the worker
     */
    static WorkerExchange start(
            DispatchParts parts, CallerCall call, WorkerCall to, int tokens, Executor executor, Listener listener) {
        WorkerExchange send = new WorkerExchange(parts, call, to, tokens, executor, listener);
        parts.loadTracker().recordStart(to.worker().id(), tokens);
        parts.metrics().counter("worker.sends").inc();
        HttpRequest request = new HttpRequest(
                call.method(),
                to.worker().server().host(),
                to.worker().server().port(),
                call.target(),
                parts.wireFormat().toWorkerHeaders(call, to),
                call.body(),
                0);
        send.httpExchange = parts.client().stream(request, send);
        return send;
    }

    ListedWorker getWorker() {
        return workerRequest.worker();
    }

    WorkerCall getWorkerRequest() {
        return workerRequest;
    }

    boolean isHeadReceived() {
        return headReceived;
    }

    long getAgeMillis() {
        return context.clockMillis().getAsLong() - startMillis;
    }

    /** Closes the connection, so that the worker stops; the listener hears no more. */
    void cancel() {
        ended = true;
        releaseLoad();
        httpExchange.close();
    }

    /** Takes the worker for faulty because it is silent, and closes the connection. */
    void cancelAsUnresponsive() {
        recordOutcome(1);
        cancel();
    }

    @Override
    public void onHead(int responseStatus, Map<String, String> headers) {
        executor.execute(() -> handleHead(responseStatus, headers));
    }

    @Override
    public void onBytes(byte[] bytes) {
        executor.execute(() -> {
            if (!ended && headReceived) {
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
            recordOutcome(status >= 500 ? ERROR_FAILURE_WEIGHT : 0);
            finish();
            listener.onEnd(this);
        });
    }

    @Override
    public void onFailure(IOException cause) {
        executor.execute(() -> {
            if (ended) {
                return;
            }
            finish();
            recordOutcome(1);
            if (cause instanceof ConnectException) {
                context.loadTracker()
                        .suspend(getWorker().id(), context.clockMillis().getAsLong() + UNREACHABLE_SUSPEND_MILLIS);
                listener.onNotRun(this, UNREACHABLE);
            } else {
                recordCrash();
                listener.onBroken(this, cause.getMessage());
            }
        });
    }

    private void handleHead(int responseStatus, Map<String, String> headers) {
        if (ended) {
            return;
        }
        status = responseStatus;
        switch (context.wireFormat().classify(callerRequest, workerRequest, responseStatus, headers)) {
            case ANSWER:
                headReceived = true;
                listener.onHead(this, responseStatus, headers);
                break;
            case NOT_RUN:
                closeWithOutcome(REFUSAL_FAILURE_WEIGHT);
                listener.onNotRun(this, REFUSED);
                break;
            case OTHER_WORKER:
                context.loadTracker()
                        .suspend(getWorker().id(), context.clockMillis().getAsLong() + UNREACHABLE_SUSPEND_MILLIS);
                closeWithOutcome(1);
                listener.onNotRun(this, "another worker has the address");
                break;
            default:
                closeWithOutcome(1);
                listener.onBroken(this, "answer of another request or without proof of origin");
                break;
        }
    }

    private void recordCrash() {
        long content = ContentHash.compute(callerRequest);
        String crash = getWorker().id() + "@" + getWorker().startedAtMillis();
        if (context.crashTracker().record(content, crash)) {
            context.onCrash().accept(content, crash);
        }
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
