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
    private static final int REPORT_STEP_TOKENS = 32;

    private final ModelRequest call;
    private final DispatchContext parts;
    private final RequestDecisions log;
    private final CompletableFuture<Optional<FinishedAnswer>> outcome = new CompletableFuture<>();
    private final SerialExecutor serial = SerialExecutor.create();
    private final List<Token> relayed = new ArrayList<>();
    private final RunMeter meter;
    private AnswerListener listener;
    private Optional<AnswerEnd> end = Optional.empty();
    private Optional<Fault> fault = Optional.empty();
    private boolean closed;

    private int attemptNumber;
    private String attempt;
    private Optional<BackendServer> prefillWorker = Optional.empty();
    private Optional<BackendServer> decodeWorker = Optional.empty();
    private CompletableFuture<HttpResponse> prefill;
    private DecodeStream decode;
    private int cachedTokens;
    private boolean imported;
    private boolean mayHaveRun;

    /** True when a worker crashed under this request; the coordinator that saw the crash may be lost before the retry. */
    private boolean suspect;

    private int resumedFrom;
    private ScheduledFuture<?> stepTimer;
    private ScheduledFuture<?> deadlineTimer;

    ModelRun(ModelRequest call, DispatchContext parts, AnswerListener listener) {
        this.call = call;
        this.parts = parts;
        this.listener = listener;
        this.meter = new RunMeter(call, parts.metrics());
        this.log = new RequestDecisions(parts.decisions(), call.request());
    }

    /**
     * Gives the request up because its caller is gone, and frees what it holds at the engines.
     *
     * @param from the listener of that caller; nothing happens when another one has replaced it
     */
    public void cancel(AnswerListener from) {
        serial.execute(() -> {
            if (!closed && listener == from) {
                parts.count("requests.cancelled");
                close();
                releaseEngines();
                parts.placements().withdraw(attempt);
                meter.discardPrefill();
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
            relayed.forEach(next::onReplayedToken);
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
                endTaken();
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
            decode = newDecode(worker);
            report(AttemptPhase.DECODING);
            decode.openAt(from);
        });
    }

    private void startDeadline() {
        if (call.deadlineMillis() > 0) {
            long left = call.getLeftMillis(call.deadlineMillis());
            deadlineTimer = schedule(this::expire, left);
        }
    }

    private void expire() {
        abandon(RunFaults.deadlinePassed(ranSoFar(), call.deadlineMillis()));
    }

    private void place() {
        attemptNumber++;
        attempt = call.request() + "-" + attemptNumber;
        prefillWorker = Optional.empty();
        decodeWorker = Optional.empty();
        imported = false;
        String current = attempt;
        PlacementRequest request = toPlacementRequest();
        stepTimer = schedule(this::giveUpPlacement, request.maxWaitMillis() + PLACEMENT_MARGIN_MILLIS);
        parts.placements()
                .place(request, reason -> serial.execute(() -> endByCoordinator(current, reason)))
                .whenComplete((answer, cause) -> serial.execute(() -> takePlacement(current, answer, cause)));
    }

    private PlacementRequest toPlacementRequest() {
        return new PlacementRequest(
                attempt,
                call.service(),
                call.model(),
                call.caller().partner(),
                parts.view().get().self().zone(),
                call.priceClass().name(),
                call.priceClass().microsPerToken(),
                call.promptTokens(),
                call.expectedOutputTokens(),
                call.maxOutputTokens(),
                PromptPrefix.computeHashes(call.prompt(), call.settings().pieceTokens()),
                call.getContentHash(),
                timeLeft(call.priceClass().ttftMillis()),
                call.priceClass().tbtMillis(),
                timeLeft(call.priceClass().maxWaitMillis()),
                suspect);
    }

    /**
     * Gets the time left for an attempt. A new attempt gets the time of a new request, because the coordinator would
     * refuse it at once when the failed attempt has used up the time; only the deadline of the caller still counts.
     */
    private long timeLeft(long millis) {
        return attemptNumber == 1 ? call.getLeftMillis(millis) : call.getLeftMillis(call.getElapsedMillis() + millis);
    }

    private void giveUpPlacement() {
        abandon(RunFaults.coordinatorSilent(ranSoFar(), call.service()));
    }

    private void takePlacement(String current, Either<Fault, Placement> answer, Throwable cause) {
        if (closed || !current.equals(attempt)) {
            parts.placements().withdraw(current);
            return;
        }
        cancelTimer(stepTimer);
        if (cause != null) {
            finish(RunFaults.placementFailed(ranSoFar(), cause));
        } else if (answer.isLeft()) {
            Fault refusal = answer.getLeft();
            log.record("refuse", "pool " + call.service(), refusal.kind().toWire(), refusal.message());
            finish(mayHaveRun ? RunFaults.withUnknownRun(refusal) : refusal);
        } else {
            startPrefill(answer.get());
        }
    }

    private void startPrefill(Placement placement) {
        log.record(
                "place",
                "pool " + call.service() + " attempt " + attempt,
                placement.prefillWorker().id() + ">" + placement.decodeWorker().id(),
                placement.pieces() + " pieces reserved, priority " + placement.priority());
        prefillWorker = Optional.of(placement.prefillWorker());
        long limit = 2L * 1000 * call.promptTokens() / call.settings().prefillTokensPerSecond() + PREFILL_MARGIN_MILLIS;
        String current = attempt;
        prefill = parts.engines().prefill(call, placement, limit);
        prefill.whenComplete((response, cause) -> serial.execute(() -> {
            if (!closed && current.equals(attempt)) {
                takePrefill(placement, response, cause);
            }
        }));
    }

    private void takePrefill(Placement placement, HttpResponse response, Throwable cause) {
        prefill = null;
        Throwable failure = Failures.unwrap(cause);
        mayHaveRun |= !(failure instanceof ConnectException);
        suspect |= isCutOff(failure);
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
    private static boolean isCutOff(Throwable failure) {
        return failure instanceof IOException
                && !(failure instanceof ConnectException)
                && !(failure instanceof SocketTimeoutException);
    }

    private void startDecode(Placement placement, String prefillId) {
        BackendServer worker = placement.decodeWorker();
        decodeWorker = Optional.of(worker);
        decode = newDecode(worker);
        decode.open(received -> parts.engines().decode(call, placement, prefillId, received));
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

    private DecodeStream newDecode(BackendServer worker) {
        return new DecodeStream(
                parts.engines(), parts.timers(), serial, worker, attempt, new DecodeListener(attempt, worker));
    }

    private void takeImported() {
        if (imported) {
            return;
        }
        imported = true;
        cancelTimer(stepTimer);
        prefillWorker = Optional.empty();
        report(AttemptPhase.IMPORTED);
    }

    private void takeToken(Token token) {
        takeImported();
        int at = token.position().position();
        if (at == resumedFrom + 1 || at % REPORT_STEP_TOKENS == 0) {
            report(AttemptPhase.DECODING);
        }
        int index = at - 1 - resumedFrom;
        if (index >= relayed.size()) {
            relayed.add(token);
            parts.count("tokens.relayed");
            meter.takeToken();
            listener.onToken(token);
            return;
        }
        if (!relayed.get(index).text().equals(token.text())) {
            abandon(RunFaults.diverged("token " + at + " of the new attempt differs from the one already sent"));
        }
    }

    private void takeDone(String finishReason, int promptTokens, int completionTokens) {
        if (completionTokens - resumedFrom < relayed.size()) {
            abandon(RunFaults.diverged("the new attempt ended before the tokens already sent"));
            return;
        }
        report(AttemptPhase.COMPLETED);
        meter.complete(promptTokens, completionTokens);
        close();
        AnswerEnd complete = new AnswerEnd(finishReason, promptTokens, completionTokens, cachedTokens);
        end = Optional.of(complete);
        outcome.complete(Optional.of(new FinishedAnswer(List.copyOf(relayed), complete)));
        listener.onEnd(complete);
    }

    private void takeFailure(DecodeStream.Failure failure, BackendServer worker, String message) {
        String what = "decode worker " + worker.id() + ": " + message;
        suspect |= failure == DecodeStream.Failure.CRASH;
        switch (failure) {
            case MEMORY:
                retry(imported ? AttemptPhase.DECODE_FAILED : AttemptPhase.MEMORY_REFUSED, what);
                break;
            case TRANSFER:
                retry(AttemptPhase.TRANSFER_FAILED, what);
                break;
            case CANCELLED:
                abandon(RunFaults.endedForOthers(
                        ranSoFar(), "the attempt was cancelled at decode worker " + worker.id()));
                break;
            default:
                retry(AttemptPhase.DECODE_FAILED, what);
                break;
        }
    }

    private void endByCoordinator(String ended, String reason) {
        if (!closed && ended.equals(attempt)) {
            log.record("refuse", "attempt " + attempt, "end", reason);
            abandon(RunFaults.endedForOthers(ranSoFar(), "the coordinator ended the attempt: " + reason));
        }
    }

    private void retry(AttemptPhase phase, String what) {
        report(phase);
        stopSteps();
        releaseEngines();
        if (attemptNumber >= MAX_ATTEMPTS) {
            finish(RunFaults.workersFailed(ranSoFar(), what));
            return;
        }
        log.record("retry", "attempt " + attempt + " " + phase, "new placement", what);
        parts.count("attempts.retried");
        place();
    }

    /** Ends the request with a fault while an attempt may hold something. */
    private void abandon(Fault reason) {
        if (closed) {
            return;
        }
        report(AttemptPhase.CANCELLED);
        parts.placements().withdraw(attempt);
        stopSteps();
        releaseEngines();
        finish(reason);
    }

    private void finish(Fault reason) {
        close();
        meter.fail(reason.kind());
        fault = Optional.of(reason);
        outcome.complete(Optional.empty());
        listener.onFault(reason);
    }

    private void endTaken() {
        finish(RunFaults.superseded());
    }

    private void releaseEngines() {
        prefillWorker.ifPresent(worker -> parts.canceller().cancel(worker, attempt));
        decodeWorker.ifPresent(worker -> parts.canceller().cancelOwned(worker, attempt));
    }

    private void close() {
        closed = true;
        stopSteps();
        cancelTimer(deadlineTimer);
    }

    private void stopSteps() {
        cancelTimer(stepTimer);
        if (prefill != null) {
            prefill.cancel(true);
            prefill = null;
        }
        if (decode != null) {
            decode.close();
        }
    }

    private void report(AttemptPhase phase) {
        int tokens = decode == null ? 0 : decode.getPosition();
        meter.take(phase, cachedTokens);
        parts.placements().report(new AttemptProgress(attempt, phase, tokens, cachedTokens));
    }

    private ExecutionStatus ranSoFar() {
        return mayHaveRun || prefillWorker.isPresent() ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO;
    }

    private ScheduledFuture<?> schedule(Runnable task, long millis) {
        Runnable guarded = () -> {
            if (!closed) {
                task.run();
            }
        };
        return parts.timers().schedule(() -> serial.execute(guarded), millis, TimeUnit.MILLISECONDS);
    }

    private static void cancelTimer(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Receives the events of one decode attempt and drops those of an earlier one. */
    private final class DecodeListener implements DecodeStream.Listener {
        private final String mine;
        private final BackendServer worker;

        DecodeListener(String mine, BackendServer worker) {
            this.mine = mine;
            this.worker = worker;
        }

        @Override
        public void onImported() {
            whenCurrent(ModelRun.this::takeImported);
        }

        @Override
        public void onToken(int at, String text) {
            whenCurrent(() -> takeToken(new Token(new StreamPosition(worker.id(), mine, at), text)));
        }

        @Override
        public void onDone(String finishReason, int promptTokens, int completionTokens) {
            whenCurrent(() -> takeDone(finishReason, promptTokens, completionTokens));
        }

        @Override
        public void onFailure(DecodeStream.Failure failure, String message) {
            whenCurrent(() -> takeFailure(failure, worker, message));
        }

        @Override
        public void onTaken() {
            whenCurrent(ModelRun.this::endTaken);
        }

        private void whenCurrent(Runnable task) {
            if (closed || !mine.equals(attempt)) {
                parts.count("events.stale");
                return;
            }
            task.run();
        }
    }
}
