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
import org.magnoliavane.ExecutionStatus;
import org.magnoliavane.Fault;
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
 * Executes one model request: placement, prefill, transfer and decode. A failed attempt is retried once with a new
 * placement.
 *
 * <p>Thread-safe; all state is confined to the serial executor of the run.
 */
public final class ModelRun {
    private static final int MAX_ATTEMPTS = 2;

    /** Time beyond the longest wait of the price class after which no response of the coordinator is expected. */
    private static final long PLACEMENT_MARGIN_MILLIS = 5000;

    /** Time allowed for other work of the prefill worker, in addition to twice the duration of the prefill itself. */
    private static final long PREFILL_MARGIN_MILLIS = 3000;

    /** Time allowed for other transfers on the link, in addition to twice the duration of the transfer itself. */
    private static final long TRANSFER_MARGIN_MILLIS = 1000;

    /** Number of tokens between two progress reports of a decode. */
    private static final int PROGRESS_INTERVAL_TOKENS = 32;

    private final ModelRequest modelRequest;
    private final DispatchContext context;
    private final RequestDecisions requestDecisions;
    private final CompletableFuture<Optional<FinishedAnswer>> outcome = new CompletableFuture<>();
    private final SerialExecutor serial = SerialExecutor.create();
    private final List<Token> relayedTokens = new ArrayList<>();
    private final RunMetrics metrics;
    private AnswerListener listener;
    private Optional<AnswerEnd> answerEnd = Optional.empty();
    private Optional<Fault> fault = Optional.empty();
    private boolean closed;

    private int attemptNumber;
    private String attemptId;
    private Optional<BackendServer> prefillWorker = Optional.empty();
    private Optional<BackendServer> decodeWorker = Optional.empty();
    private CompletableFuture<HttpResponse> prefillResponse;
    private DecodeStream decodeStream;
    private int cachedTokens;
    private boolean imported;
    private boolean mayHaveRun;

    /**
     * True when a worker crashed during this request. The retry then requests isolation itself, because the coordinator
     * that detected the crash may be lost before.
     */
    private boolean crashSuspected;

    private int resumedFrom;
    private ScheduledFuture<?> stepTimer;
    private ScheduledFuture<?> deadlineTimer;

    ModelRun(ModelRequest modelRequest, DispatchContext context, AnswerListener listener) {
        this.modelRequest = modelRequest;
        this.context = context;
        this.listener = listener;
        this.metrics = new RunMetrics(modelRequest, context.metrics());
        this.requestDecisions = new RequestDecisions(context.decisions(), modelRequest.id());
    }

    /**
     * Cancels the request because its caller has disconnected, and releases its resources at the engines.
     *
     * @param from the listener of that caller; the call has no effect when another listener has replaced it
     */
    public void cancel(AnswerListener from) {
        serial.execute(() -> {
            if (!closed && listener == from) {
                context.incrementCounter("requests.cancelled");
                close();
                releaseEngines();
                context.placements().withdraw(attemptId);
                metrics.recordDiscardedPrefill();
                fault = Optional.of(RunFaults.callerGone());
                outcome.complete(Optional.empty());
            }
        });
    }

    /**
     * Sends the answer to another listener, from its first token. The previous listener receives a fault unless the run
     * has ended.
     *
     * @param next the new listener
     */
    public void replaceListener(AnswerListener next) {
        serial.execute(() -> {
            AnswerListener previous = listener;
            listener = next;
            if (!closed) {
                previous.onFault(RunFaults.superseded());
            }
            relayedTokens.forEach(next::onReplayedToken);
            answerEnd.ifPresent(next::onEnd);
            fault.ifPresent(next::onFault);
        });
    }

    /**
     * Gets the outcome of the run.
     *
     * @return completes with the complete answer, or empty when the run ended without one
     */
    public CompletionStage<Optional<FinishedAnswer>> getOutcome() {
        return outcome;
    }

    /** Ends this run because the caller has resumed the stream on another connection; the engine continues. */
    void supersede() {
        serial.execute(() -> {
            if (!closed) {
                handleTakeover();
            }
        });
    }

    /** Starts the request. */
    void start() {
        serial.execute(() -> {
            startDeadline();
            place();
        });
    }

    /**
     * Resumes the stream of an attempt.
     *
     * @param worker the decode worker
     * @param resumedId the id of the attempt
     * @param from the position after which the stream continues
     */
    void resume(BackendServer worker, String resumedId, int from) {
        serial.execute(() -> {
            startDeadline();
            attemptId = resumedId;
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
        if (modelRequest.deadlineMillis() > 0) {
            long remainingMillis = modelRequest.getRemainingMillis(modelRequest.deadlineMillis());
            deadlineTimer = schedule(this::handleDeadline, remainingMillis);
        }
    }

    private void handleDeadline() {
        abandon(RunFaults.deadlinePassed(getExecutionStatus(), modelRequest.deadlineMillis()));
    }

    private void place() {
        attemptNumber++;
        attemptId = modelRequest.id() + "-" + attemptNumber;
        prefillWorker = Optional.empty();
        decodeWorker = Optional.empty();
        imported = false;
        String currentId = attemptId;
        PlacementRequest request = toPlacementRequest();
        stepTimer = schedule(this::handlePlacementTimeout, request.maxWaitMillis() + PLACEMENT_MARGIN_MILLIS);
        context.placements()
                .place(request, reason -> serial.execute(() -> handleCoordinatorEnd(currentId, reason)))
                .whenComplete((result, cause) -> serial.execute(() -> handlePlacement(currentId, result, cause)));
    }

    private PlacementRequest toPlacementRequest() {
        return new PlacementRequest(
                attemptId,
                modelRequest.service(),
                modelRequest.model(),
                modelRequest.caller().partner(),
                context.view().get().self().zone(),
                modelRequest.priceClass().name(),
                modelRequest.priceClass().microsPerToken(),
                modelRequest.promptTokens(),
                modelRequest.expectedOutputTokens(),
                modelRequest.maxOutputTokens(),
                PromptPrefix.computeHashes(
                        modelRequest.prompt(), modelRequest.settings().pieceTokens()),
                modelRequest.getContentHash(),
                getRemainingMillis(modelRequest.priceClass().ttftMillis()),
                modelRequest.priceClass().tbtMillis(),
                getRemainingMillis(modelRequest.priceClass().maxWaitMillis()),
                crashSuspected);
    }

    /**
     * Gets the remaining time for an attempt. A retry gets the same time as a new request, limited only by the deadline
     * of the caller, because the coordinator would refuse it at once when the failed attempt has used up the time.
     */
    private long getRemainingMillis(long millis) {
        return attemptNumber == 1
                ? modelRequest.getRemainingMillis(millis)
                : modelRequest.getRemainingMillis(modelRequest.getElapsedMillis() + millis);
    }

    private void handlePlacementTimeout() {
        abandon(RunFaults.coordinatorUnresponsive(getExecutionStatus(), modelRequest.service()));
    }

    private void handlePlacement(String currentId, Either<Fault, Placement> result, Throwable cause) {
        if (closed || !currentId.equals(attemptId)) {
            context.placements().withdraw(currentId);
            return;
        }
        cancelTimer(stepTimer);
        if (cause != null) {
            finish(RunFaults.placementFailed(getExecutionStatus(), cause));
        } else if (result.isLeft()) {
            Fault refusal = result.getLeft();
            requestDecisions.record(
                    "refuse", "pool " + modelRequest.service(), refusal.kind().toWire(), refusal.message());
            finish(mayHaveRun ? RunFaults.withUnknownStatus(refusal) : refusal);
        } else {
            startPrefill(result.get());
        }
    }

    private void startPrefill(Placement placement) {
        requestDecisions.record(
                "place",
                "pool " + modelRequest.service() + " attempt " + attemptId,
                placement.prefillWorker().id() + ">" + placement.decodeWorker().id(),
                placement.pieces() + " pieces reserved, priority " + placement.priority());
        prefillWorker = Optional.of(placement.prefillWorker());
        long limitMillis = 2L
                        * 1000
                        * modelRequest.promptTokens()
                        / modelRequest.settings().prefillTokensPerSecond()
                + PREFILL_MARGIN_MILLIS;
        String currentId = attemptId;
        prefillResponse = context.engineClient().startPrefill(modelRequest, placement, limitMillis);
        prefillResponse.whenComplete((response, cause) -> serial.execute(() -> {
            if (!closed && currentId.equals(attemptId)) {
                handlePrefill(placement, response, cause);
            }
        }));
    }

    private void handlePrefill(Placement placement, HttpResponse response, Throwable cause) {
        prefillResponse = null;
        Throwable failure = Failures.unwrap(cause);
        mayHaveRun |= !(failure instanceof ConnectException);
        crashSuspected |= isConnectionBroken(failure);
        String description = "prefill worker " + placement.prefillWorker().id() + " ";
        if (failure != null) {
            retry(AttemptPhase.PREFILL_FAILED, description + "failed: " + failure.getMessage());
            return;
        }
        JsonNode body = Json.tryRead(response.getText()).orElse(Json.object());
        String id = body.path("prefill").asText();
        if (response.status() != 200 || id.isEmpty()) {
            String kind = body.path("error").path("kind").asText("no prefill id");
            retry(AttemptPhase.PREFILL_FAILED, description + "responded with status " + response.status() + " " + kind);
            return;
        }
        cachedTokens = body.path("cached_tokens").asInt();
        report(AttemptPhase.PREFILLED);
        startDecode(placement, id);
    }

    /** Returns whether the worker closed the connection before it responded, as a crashing process does. */
    private static boolean isConnectionBroken(Throwable failure) {
        return failure instanceof IOException
                && !(failure instanceof ConnectException)
                && !(failure instanceof SocketTimeoutException);
    }

    private void startDecode(Placement placement, String prefillId) {
        BackendServer worker = placement.decodeWorker();
        decodeWorker = Optional.of(worker);
        decodeStream = createDecodeStream(worker);
        decodeStream.open(received -> context.engineClient().startDecode(modelRequest, placement, prefillId, received));
        long limitMillis = 2L
                        * 1000
                        * modelRequest.promptTokens()
                        / modelRequest.settings().transferTokensPerSecond()
                + TRANSFER_MARGIN_MILLIS;
        String currentId = attemptId;
        stepTimer = schedule(
                () -> {
                    if (currentId.equals(attemptId) && !imported) {
                        String from = placement.prefillWorker().id();
                        retry(
                                AttemptPhase.TRANSFER_FAILED,
                                "transfer from " + from + " to " + worker.id() + " took more than " + limitMillis
                                        + " ms");
                    }
                },
                limitMillis);
    }

    private DecodeStream createDecodeStream(BackendServer worker) {
        return new DecodeStream(
                context.engineClient(),
                context.timers(),
                serial,
                worker,
                attemptId,
                new DecodeListener(attemptId, worker));
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
        int tokenPosition = token.position().position();
        if (tokenPosition == resumedFrom + 1 || tokenPosition % PROGRESS_INTERVAL_TOKENS == 0) {
            report(AttemptPhase.DECODING);
        }
        int index = tokenPosition - 1 - resumedFrom;
        if (index >= relayedTokens.size()) {
            relayedTokens.add(token);
            context.incrementCounter("tokens.relayed");
            metrics.recordToken();
            listener.onToken(token);
            return;
        }
        if (!relayedTokens.get(index).text().equals(token.text())) {
            abandon(RunFaults.diverged(
                    "token " + tokenPosition + " of the new attempt differs from the one already sent"));
        }
    }

    private void handleDone(String finishReason, int promptTokens, int completionTokens) {
        if (completionTokens - resumedFrom < relayedTokens.size()) {
            abandon(RunFaults.diverged("the new attempt ended before the last token already sent"));
            return;
        }
        report(AttemptPhase.COMPLETED);
        metrics.recordCompletion(promptTokens, completionTokens);
        close();
        AnswerEnd complete = new AnswerEnd(finishReason, promptTokens, completionTokens, cachedTokens);
        answerEnd = Optional.of(complete);
        outcome.complete(Optional.of(new FinishedAnswer(List.copyOf(relayedTokens), complete)));
        listener.onEnd(complete);
    }

    private void handleFailure(DecodeStream.Failure failure, BackendServer worker, String message) {
        String description = "decode worker " + worker.id() + ": " + message;
        crashSuspected |= failure == DecodeStream.Failure.CRASH;
        switch (failure) {
            case MEMORY:
                retry(imported ? AttemptPhase.DECODE_FAILED : AttemptPhase.MEMORY_REFUSED, description);
                break;
            case TRANSFER:
                retry(AttemptPhase.TRANSFER_FAILED, description);
                break;
            case CANCELLED:
                abandon(RunFaults.preempted(
                        getExecutionStatus(), "the attempt was cancelled at decode worker " + worker.id()));
                break;
            default:
                retry(AttemptPhase.DECODE_FAILED, description);
                break;
        }
    }

    private void handleCoordinatorEnd(String endedId, String reason) {
        if (!closed && endedId.equals(attemptId)) {
            requestDecisions.record("refuse", "attempt " + attemptId, "end", reason);
            abandon(RunFaults.preempted(getExecutionStatus(), "the coordinator ended the attempt: " + reason));
        }
    }

    private void retry(AttemptPhase phase, String description) {
        report(phase);
        stopCurrentStep();
        releaseEngines();
        if (attemptNumber >= MAX_ATTEMPTS) {
            finish(RunFaults.workersFailed(getExecutionStatus(), description));
            return;
        }
        requestDecisions.record("retry", "attempt " + attemptId + " " + phase, "new placement", description);
        context.incrementCounter("attempts.retried");
        place();
    }

    /** Ends the request with a fault and releases the resources that its attempt may hold. */
    private void abandon(Fault reason) {
        if (closed) {
            return;
        }
        report(AttemptPhase.CANCELLED);
        context.placements().withdraw(attemptId);
        stopCurrentStep();
        releaseEngines();
        finish(reason);
    }

    private void finish(Fault reason) {
        close();
        metrics.fail(reason.kind());
        fault = Optional.of(reason);
        outcome.complete(Optional.empty());
        listener.onFault(reason);
    }

    private void handleTakeover() {
        finish(RunFaults.superseded());
    }

    private void releaseEngines() {
        prefillWorker.ifPresent(worker -> context.canceller().cancel(worker, attemptId));
        decodeWorker.ifPresent(worker -> context.canceller().cancelIfOwned(worker, attemptId));
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
        context.placements().report(new AttemptProgress(attemptId, phase, tokens, cachedTokens));
    }

    private ExecutionStatus getExecutionStatus() {
        return mayHaveRun || prefillWorker.isPresent() ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO;
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

    /** Handles the events of one decode attempt and ignores those of an earlier one. */
    private final class DecodeListener implements DecodeStream.Listener {
        private final String streamAttemptId;
        private final BackendServer worker;

        DecodeListener(String streamAttemptId, BackendServer worker) {
            this.streamAttemptId = streamAttemptId;
            this.worker = worker;
        }

        @Override
        public void onImported() {
            runIfCurrent(ModelRun.this::handleImported);
        }

        @Override
        public void onToken(int tokenPosition, String text) {
            runIfCurrent(() ->
                    handleToken(new Token(new StreamPosition(worker.id(), streamAttemptId, tokenPosition), text)));
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
            if (closed || !streamAttemptId.equals(attemptId)) {
                context.incrementCounter("events.stale");
                return;
            }
            task.run();
        }
    }
}
