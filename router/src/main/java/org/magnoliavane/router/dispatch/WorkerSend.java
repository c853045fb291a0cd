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
final class WorkerSend implements ResponseListener {
    /** How long a worker that accepts no connection is avoided. */
    private static final long UNREACHABLE_SUSPEND_MILLIS = 1500;

    /** Failure that a worker's refusal counts as: a full worker is no faulty one. */
    private static final double REFUSAL_FAILURE = 0.25;

    /** Failure that an error status counts as: some requests fail at any worker. */
    private static final double ERROR_FAILURE = 0.2;

    /** Reason of a worker that states that it did not run the request. */
    static final String REFUSED = "refused";

    /** Reason of a worker that accepts no connection. */
    static final String UNREACHABLE = "unreachable";

    /** Takes what happens to a send. */
    interface Listener {
        /** The worker runs the request. */
        void onHead(WorkerSend send, int status, Map<String, String> headers);

        void onBytes(WorkerSend send, byte[] bytes);

        /** The answer is complete. */
        void onEnd(WorkerSend send);

        /** The worker did not run the request. */
        void onNotRun(WorkerSend send, String reason);

        /** The request may have run, and no complete answer will come. */
        void onBroken(WorkerSend send, String reason);
    }

    private final DispatchContext parts;
    private final CallerRequest call;
    private final WorkerRequest to;
    private final int tokens;
    private final Listener listener;
    private final Executor executor;
    private final AtomicBoolean released = new AtomicBoolean();
    private final long startMillis;
    private HttpExchange exchange;
    private boolean ended;
    private boolean answered;
    private int status;

    private WorkerSend(
            DispatchContext parts,
            CallerRequest call,
            WorkerRequest to,
            int tokens,
            Executor executor,
            Listener listener) {
        this.parts = parts;
        this.call = call;
        this.to = to;
        this.tokens = tokens;
        this.listener = listener;
        this.executor = executor;
        this.startMillis = parts.millis().getAsLong();
    }

    /**
     * Sends a request.
     *
     * @param tokens the tokens that it occupies at the worker
     */
    static WorkerSend start(
            DispatchContext parts,
            CallerRequest call,
            WorkerRequest to,
            int tokens,
            Executor executor,
            Listener listener) {
        WorkerSend send = new WorkerSend(parts, call, to, tokens, executor, listener);
        parts.ledger().start(to.worker().id(), tokens);
        parts.metrics().counter("worker.sends").inc();
        HttpRequest request = new HttpRequest(
                call.method(),
                to.worker().server().host(),
                to.worker().server().port(),
                call.target(),
                parts.wire().toWorkerHeaders(call, to),
                call.body(),
                0);
        send.exchange = parts.client().stream(request, send);
        return send;
    }

    ListedWorker worker() {
        return to.worker();
    }

    WorkerRequest workerCall() {
        return to;
    }

    boolean isAnswered() {
        return answered;
    }

    long getAgeMillis() {
        return parts.millis().getAsLong() - startMillis;
    }

    /** Closes the connection, so that the worker stops; the listener hears no more. */
    void cancel() {
        ended = true;
        release();
        exchange.close();
    }

    /** Takes the worker for faulty because it is silent, and closes the connection. */
    void cancelAsSilent() {
        outcome(1);
        cancel();
    }

    @Override
    public void onHead(int responseStatus, Map<String, String> headers) {
        executor.execute(() -> takeHead(responseStatus, headers));
    }

    @Override
    public void onBytes(byte[] bytes) {
        executor.execute(() -> {
            if (!ended && answered) {
                listener.onBytes(this, bytes);
            }
        });
    }

    @Override
    public void onEnd() {
        executor.execute(() -> {
            if (ended || !answered) {
                return;
            }
            outcome(status >= 500 ? ERROR_FAILURE : 0);
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
            outcome(1);
            if (cause instanceof ConnectException) {
                parts.ledger().suspend(worker().id(), parts.millis().getAsLong() + UNREACHABLE_SUSPEND_MILLIS);
                listener.onNotRun(this, UNREACHABLE);
            } else {
                recordCrash();
                listener.onBroken(this, cause.getMessage());
            }
        });
    }

    private void takeHead(int responseStatus, Map<String, String> headers) {
        if (ended) {
            return;
        }
        status = responseStatus;
        switch (parts.wire().classify(call, to, responseStatus, headers)) {
            case VALID:
                answered = true;
                listener.onHead(this, responseStatus, headers);
                break;
            case NOT_RUN:
                close(REFUSAL_FAILURE);
                listener.onNotRun(this, REFUSED);
                break;
            case WRONG_WORKER:
                parts.ledger().suspend(worker().id(), parts.millis().getAsLong() + UNREACHABLE_SUSPEND_MILLIS);
                close(1);
                listener.onNotRun(this, "another worker has the address");
                break;
            default:
                close(1);
                listener.onBroken(this, "answer of another request or without proof of origin");
                break;
        }
    }

    private void recordCrash() {
        long content = ContentHash.of(call);
        String crash = worker().id() + "@" + worker().startedAtMillis();
        if (parts.crashes().recordCrash(content, crash)) {
            parts.onCrash().accept(content, crash);
        }
    }

    private void close(double failure) {
        outcome(failure);
        cancel();
    }

    private void finish() {
        ended = true;
        release();
    }

    private void outcome(double failure) {
        parts.ledger().outcome(worker().id(), failure, parts.millis().getAsLong());
    }

    private void release() {
        if (released.compareAndSet(false, true)) {
            parts.ledger().end(worker().id(), tokens);
        }
    }
}
