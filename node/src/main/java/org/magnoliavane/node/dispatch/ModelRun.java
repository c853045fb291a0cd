package org.magnoliavane.node.dispatch;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.magnoliavane.BackendServer;
import org.magnoliavane.Fault;
import org.magnoliavane.Ran;
import org.magnoliavane.http.Failures;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.http.SerialExecutor;
import org.magnoliavane.json.Json;
import org.magnoliavane.node.decision.RequestDecisions;
import org.magnoliavane.node.placement.Placement;
import org.magnoliavane.pool.AttemptPhase;
import org.magnoliavane.pool.AttemptProgress;
import org.magnoliavane.pool.PlacementRequest;
import org.magnoliavane.pool.PromptPrefix;

/**
 * Drives one model request: placement, prefill, transfer and decode. A failed attempt is replaced once by a new one.
 *
 * <p>Thread-safe. All state belongs to the serial executor of the run.
 */
public final class ModelRun {
    private static final int MAX_ATTEMPTS = 2;

    /** Time beyond the longest wait of the class after which an answer of the coordinator is no longer expected. */
    private static final long PLACEMENT_MARGIN_MILLIS = 5000;

    /** Allowance for other work of the prefill worker, beyond twice the time of the prefill itself. */
    private static final long PREFILL_MARGIN_MILLIS = 3000;

    /** Allowance for other transfers on the link, beyond twice the time of the transfer itself. */
    private static final long TRANSFER_MARGIN_MILLIS = 1000;

    /** Tokens between two progress reports of a decode. */
    private static final int PROGRESS_INTERVAL_TOKENS = 32;

    private final ModelCall call;
    private final DispatchContext context;
    private final RequestDecisions requestDecisions;
    private final CompletableFuture<Optional<FinishedAnswer>> outcome = new CompletableFuture<>();
    private final SerialExecutor serial = SerialExecutor.create();
    private final List<Token> relayedTokens = new ArrayList<>();
    private final RunMetrics metrics;
    private AnswerListener listener;
    private Optional<AnswerEnd> end = Optional.empty();
    private Optional<Fault> fault = Optional.empty();
    private boolean closed;

    private int attemptNumber;
    private String attempt;
    private Optional<BackendServer> prefillWorker = Optional.empty();
    private Optional<BackendServer> decodeWorker = Optional.empty();
    private CompletableFuture<HttpResponse> prefillResponse;
    private DecodeStream decodeStream;
    private int cachedTokens;
    private boolean imported;
    private boolean mayHaveRun;

    /** True when a worker crashed under this request; the coordinator that saw the crash may be lost before the retry. */
    private boolean crashSuspected;

    private int resumedFrom;
    private ScheduledFuture<?> stepTimer;
    private ScheduledFuture<?> deadlineTimer;

    ModelRun(ModelCall call, DispatchContext parts, AnswerListener listener) {
        this.call = call;
        this.context = parts;
        this.listener = listener;
        this.metrics = new RunMetrics(call, parts.metrics());
        this.requestDecisions = new RequestDecisions(parts.decisions(), call.request());
    }

    /**
     * Gives the request up because its caller is gone, and frees what it holds at the engines.
     *
     * @param from the listener of that caller; nothing happens when another one has replaced it
     */
    public void cancel(AnswerListener from) {
        serial.execute(() -> {
            if (!closed && listener == from) {
                context.incrementCounter("requests.cancelled");
                close();
                releaseEngines();
                context.placements().withdraw(attempt);
                metrics.recordDiscardedPrefill();
                fault = Optional.of(RunFaults.callerGone());
                outcome.complete(Optional.empty());
            }
        });
    }

    /**
     * Hands the answer to another listener, from its first token. The old listener gets a fault, unless the answer is
     * complete.
     *
     * @param next the new listener
     */
    public void replaceListener(AnswerListener next) {
        serial.execute(() -> {
            AnswerListener old = listener;
            listener = next;
            if (!closed) {
                old.onFault(RunFaults.superseded());
            }
            relayedTokens.forEach(next::onEarlierToken);
            end.ifPresent(next::onEnd);
            fault.ifPresent(next::onFault);
        });
    }

    /**
     * Gets the outcome.
     *
     * @return completes with the whole answer, or with an empty value when the run ended without one
     */
    public CompletionStage<Optional<FinishedAnswer>> getOutcome() {
        return outcome;
    }

    /** Ends this run because the caller has resumed the stream elsewhere; the engine goes on. */
    void supersede() {
        serial.execute(() -> {
            if (!closed) {
                handleTakeover();
            }
        });
    }

    void start() {
        serial.execute(() -> {
            startDeadline();
            place();
        });
    }

    void resume(BackendServer worker, String resumed, int from) {
        serial.execute(() -> {
            startDeadline();
            attempt = resumed;
            attemptNumber = MAX_ATTEMPTS;
            resumedFrom = from;
            mayHaveRun = true;
            imported = true;
            decodeWorker = Optional.of(worker);
            decodeStream = createDecodeStream(worker);
            report(AttemptPhase.DECODING);
            decodeStream.resumeAt(from);
        });
    }

    private void startDeadline() {
        if (call.deadlineMillis() > 0) {
            long left = call.getRemainingMillis(call.deadlineMillis());
            deadlineTimer = schedule(this::handleDeadline, left);
        }
    }

    private void handleDeadline() {
        abandon(RunFaults.deadlinePassed(getRanSoFar(), call.deadlineMillis()));
    }

    private void place() {
        attemptNumber++;
        attempt = call.request() + "-" + attemptNumber;
        prefillWorker = Optional.empty();
        decodeWorker = Optional.empty();
        imported = false;
        String current = attempt;
        PlacementRequest request = toPlacementRequest();
        stepTimer = schedule(this::handlePlacementTimeout, request.maxWaitMillis() + PLACEMENT_MARGIN_MILLIS);
        context.placements()
                .place(request, reason -> serial.execute(() -> handleCoordinatorEnd(current, reason)))
                .whenComplete((answer, cause) -> serial.execute(() -> handlePlacement(current, answer, cause)));
    }

    private PlacementRequest toPlacementRequest() {
        return new PlacementRequest(
                attempt,
                call.service(),
                call.model(),
                call.caller().partner(),
                context.view().get().self().zone(),
                call.priceClass().name(),
                call.priceClass().microsPerToken(),
                call.promptTokens(),
                call.expectedOutputTokens(),
                call.maxOutputTokens(),
                PromptPrefix.hashesOf(call.prompt(), call.settings().pieceTokens()),
                call.getContentHash(),
                getRemainingMillis(call.priceClass().ttftMillis()),
                call.priceClass().tbtMillis(),
                getRemainingMillis(call.priceClass().maxWaitMillis()),
                crashSuspected);
    }

    /**
     * Gets the time left for an attempt. A new attempt gets the time of a new request, because the coordinator would
     * refuse it at once when the failed attempt has used up the time; only the deadline of the caller still counts.
     */
    private long getRemainingMillis(long millis) {
        return attemptNumber == 1
                ? call.getRemainingMillis(millis)
                : call.getRemainingMillis(call.getElapsedMillis() + millis);
    }

    private void handlePlacementTimeout() {
        abandon(RunFaults.coordinatorSilent(getRanSoFar(), call.service()));
    }

    private void handlePlacement(String current, Either<Fault, Placement> answer, Throwable cause) {
        if (closed || !current.equals(attempt)) {
            context.placements().withdraw(current);
            return;
        }
        cancelTimer(stepTimer);
        if (cause != null) {
            finish(RunFaults.placementFailed(getRanSoFar(), cause));
        } else if (answer.isLeft()) {
            Fault refusal = answer.getLeft();
            requestDecisions.record(
                    "refuse", "pool " + call.service(), refusal.kind().toWire(), refusal.message());
            finish(mayHaveRun ? RunFaults.withUnknownRun(refusal) : refusal);
        } else {
            startPrefill(answer.get());
        }
    }

    private void startPrefill(Placement placement) {
        requestDecisions.record(
                "place",
                "pool " + call.service() + " attempt " + attempt,
                placement.prefillWorker().id() + ">" + placement.decodeWorker().id(),
                placement.pieces() + " pieces reserved, priority " + placement.priority());
        prefillWorker = Optional.of(placement.prefillWorker());
        long limit = 2L * 1000 * call.promptTokens() / call.settings().prefillTokensPerSecond() + PREFILL_MARGIN_MILLIS;
        String current = attempt;
        prefillResponse = context.engineClient().startPrefill(call, placement, limit);
        prefillResponse.whenComplete((response, cause) -> serial.execute(() -> {
            if (!closed && current.equals(attempt)) {
                handlePrefill(placement, response, cause);
            }
        }));
    }

    private void handlePrefill(Placement placement, HttpResponse response, Throwable cause) {
        prefillResponse = null;
        Throwable failure = Failures.unwrap(cause);
        mayHaveRun |= !(failure instanceof ConnectException);
        crashSuspected |= isConnectionBroken(failure);
        String what = "prefill worker " + placement.prefillWorker().id() + " ";
        if (failure != null) {
            retry(AttemptPhase.PREFILL_FAILED, what + "failed: " + failure.getMessage());
            return;
        }
        JsonNode body = Json.tryRead(response.getText()).orElse(Json.object());
        String id = body.path("prefill").asText();
        if (response.status() != 200 || id.isEmpty()) {
            String kind = body.path("error").path("kind").asText("no prefill id");
            retry(AttemptPhase.PREFILL_FAILED, what + "answered " + response.status() + " " + kind);
            return;
        }
        cachedTokens = body.path("cached_tokens").asInt();
        report(AttemptPhase.PREFILLED);
        startDecode(placement, id);
    }

    /** Says whether the worker closed the connection instead of an answer, as a process that dies does. */
    private static boolean isConnectionBroken(Throwable failure) {
        return failure instanceof IOException
                && !(failure instanceof ConnectException)
                && !(failure instanceof SocketTimeoutException);
    }

    private void startDecode(Placement placement, String prefillId) {
        BackendServer worker = placement.decodeWorker();
        decodeWorker = Optional.of(worker);
        decodeStream = createDecodeStream(worker);
        decodeStream.open(received -> context.engineClient().startDecode(call, placement, prefillId, received));
        long limit =
                2L * 1000 * call.promptTokens() / call.settings().transferTokensPerSecond() + TRANSFER_MARGIN_MILLIS;
        String current = attempt;
        stepTimer = schedule(
                () -> {
                    if (current.equals(attempt) && !imported) {
                        String from = placement.prefillWorker().id();
                        retry(
                                AttemptPhase.TRANSFER_FAILED,
                                "transfer from " + from + " to " + worker.id() + " took more than " + limit + " ms");
                    }
                },
                limit);
    }

    private DecodeStream createDecodeStream(BackendServer worker) {
        return new DecodeStream(
                context.engineClient(), context.timers(), serial, worker, attempt, new DecodeListener(attempt, worker));
    }

    private void handleImported() {
        if (imported) {
            return;
        }
        imported = true;
        cancelTimer(stepTimer);
        prefillWorker = Optional.empty();
        report(AttemptPhase.IMPORTED);
    }

    private void handleToken(Token token) {
        handleImported();
        int at = token.position().position();
        if (at == resumedFrom + 1 || at % PROGRESS_INTERVAL_TOKENS == 0) {
            report(AttemptPhase.DECODING);
        }
        int index = at - 1 - resumedFrom;
        if (index >= relayedTokens.size()) {
            relayedTokens.add(token);
            context.incrementCounter("tokens.relayed");
            metrics.recordToken();
            listener.onToken(token);
            return;
        }
        if (!relayedTokens.get(index).text().equals(token.text())) {
            abandon(RunFaults.diverged("token " + at + " of the new attempt differs from the one already sent"));
        }
    }

    private void handleDone(String finishReason, int promptTokens, int completionTokens) {
        if (completionTokens - resumedFrom < relayedTokens.size()) {
            abandon(RunFaults.diverged("the new attempt ended before the tokens already sent"));
            return;
        }
        report(AttemptPhase.COMPLETED);
        metrics.recordCompletion(promptTokens, completionTokens);
        close();
        AnswerEnd complete = new AnswerEnd(finishReason, promptTokens, completionTokens, cachedTokens);
        end = Optional.of(complete);
        outcome.complete(Optional.of(new FinishedAnswer(List.copyOf(relayedTokens), complete)));
        listener.onEnd(complete);
    }

    private void handleFailure(DecodeStream.Failure failure, BackendServer worker, String message) {
        String what = "decode worker " + worker.id() + ": " + message;
        crashSuspected |= failure == DecodeStream.Failure.CRASH;
        switch (failure) {
            case MEMORY:
                retry(imported ? AttemptPhase.DECODE_FAILED : AttemptPhase.MEMORY_REFUSED, what);
                break;
            case TRANSFER:
                retry(AttemptPhase.TRANSFER_FAILED, what);
                break;
            case CANCELLED:
                abandon(RunFaults.preempted(
                        getRanSoFar(), "the attempt was cancelled at decode worker " + worker.id()));
                break;
            default:
                retry(AttemptPhase.DECODE_FAILED, what);
                break;
        }
    }

    private void handleCoordinatorEnd(String ended, String reason) {
        if (!closed && ended.equals(attempt)) {
            requestDecisions.record("refuse", "attempt " + attempt, "end", reason);
            abandon(RunFaults.preempted(getRanSoFar(), "the coordinator ended the attempt: " + reason));
        }
    }

    private void retry(AttemptPhase phase, String what) {
        report(phase);
        stopCurrentStep();
        releaseEngines();
        if (attemptNumber >= MAX_ATTEMPTS) {
            finish(RunFaults.workersFailed(getRanSoFar(), what));
            return;
        }
        requestDecisions.record("retry", "attempt " + attempt + " " + phase, "new placement", what);
        context.incrementCounter("attempts.retried");
        place();
    }

    /** Ends the request with a fault while an attempt may hold something. */
    private void abandon(Fault reason) {
        if (closed) {
            return;
        }
        report(AttemptPhase.CANCELLED);
        context.placements().withdraw(attempt);
        stopCurrentStep();
        releaseEngines();
        finish(reason);
    }

    private void finish(Fault reason) {
        close();
        metrics.recordFault(reason.kind());
        fault = Optional.of(reason);
        outcome.complete(Optional.empty());
        listener.onFault(reason);
    }

    private void handleTakeover() {
        finish(RunFaults.superseded());
    }

    private void releaseEngines() {
        prefillWorker.ifPresent(worker -> context.canceller().cancel(worker, attempt));
        decodeWorker.ifPresent(worker -> context.canceller().cancelIfOwned(worker, attempt));
    }

    private void close() {
        closed = true;
        stopCurrentStep();
        cancelTimer(deadlineTimer);
    }

    private void stopCurrentStep() {
        cancelTimer(stepTimer);
        if (prefillResponse != null) {
            prefillResponse.cancel(true);
            prefillResponse = null;
        }
        if (decodeStream != null) {
            decodeStream.close();
        }
    }

    private void report(AttemptPhase phase) {
        int tokens = decodeStream == null ? 0 : decodeStream.getPosition();
        metrics.recordPhase(phase, cachedTokens);
        context.placements().report(new AttemptProgress(attempt, phase, tokens, cachedTokens));
    }

    private Ran getRanSoFar() {
        return mayHaveRun || prefillWorker.isPresent() ? Ran.UNKNOWN : Ran.NO;
    }

    private ScheduledFuture<?> schedule(Runnable task, long millis) {
        Runnable guarded = () -> {
            if (!closed) {
                task.run();
            }
        };
        return context.timers().schedule(() -> serial.execute(guarded), millis, TimeUnit.MILLISECONDS);
    }

    private static void cancelTimer(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Receives the events of one decode attempt and drops those of an earlier one. */
    private final class DecodeListener implements DecodeStream.Listener {
        private final String streamAttempt;
        private final BackendServer worker;

        DecodeListener(String mine, BackendServer worker) {
            this.streamAttempt = mine;
            this.worker = worker;
        }

        @Override
        public void onImported() {
            runIfCurrent(ModelRun.this::handleImported);
        }

        @Override
        public void onToken(int at, String text) {
            runIfCurrent(() -> handleToken(new Token(new StreamPosition(worker.id(), streamAttempt, at), text)));
        }

        @Override
        public void onDone(String finishReason, int promptTokens, int completionTokens) {
            runIfCurrent(() -> handleDone(finishReason, promptTokens, completionTokens));
        }

        @Override
        public void onFailure(DecodeStream.Failure failure, String message) {
            runIfCurrent(() -> handleFailure(failure, worker, message));
        }

        @Override
        public void onTakenOver() {
            runIfCurrent(ModelRun.this::handleTakeover);
        }

        private void runIfCurrent(Runnable task) {
            if (closed || !streamAttempt.equals(attempt)) {
                context.incrementCounter("events.stale");
                return;
            }
            task.run();
        }
    }
}
