package org.magnoliavane.emulator.engine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.magnoliavane.emulator.engine.EngineRequests.PrefillRequest;
import org.magnoliavane.emulator.http.ErrorResponse;
import org.magnoliavane.pool.PromptPrefix;
import org.magnoliavane.pool.TokenCount;

/**
 * Computes prefills one at a time. A prefill takes a fixed time plus the time of its uncached tokens at the rate of the
 * engine. It reserves memory on arrival and holds it until its result is transferred, expires or is cancelled.
 *
 * <p>Not thread-safe.
 */
final class PrefillUnit {
    private static final int CONFLICT = 409;

    private final EngineOptions options;
    private final String idPrefix;
    private final PieceMemory memory;
    private final PrefixCache cache;
    private final Counters counters;
    private final Consumer<String> startListener;
    private final PriorityQueue<Prefill> queue = new PriorityQueue<>(Prefill.QUEUE_ORDER);
    private final Map<String, Prefill> prefillsById = new LinkedHashMap<>();
    private final Map<String, Prefill> prefillsByAttempt = new HashMap<>();
    private Prefill running;
    private long lastSequence;

    PrefillUnit(
            EngineOptions options,
            String idPrefix,
            PieceMemory memory,
            PrefixCache cache,
            Counters counters,
            Consumer<String> startListener) {
        this.options = options;
        this.idPrefix = idPrefix;
        this.memory = memory;
        this.cache = cache;
        this.counters = counters;
        this.startListener = startListener;
    }

    Either<ErrorResponse, Prefill> submit(PrefillRequest request, Consumer<Prefill> finishListener, long nowMicros) {
        if (prefillsByAttempt.containsKey(request.attempt())) {
            return Either.left(
                    new ErrorResponse(CONFLICT, "duplicate_attempt", "use a new attempt id for each attempt"));
        }
        int tokens = TokenCount.of(request.prompt());
        int pieces = memory.computePieces(tokens);
        if (!memory.tryReserve(pieces)) {
            counters.memoryRefusals++;
            String message = "the prompt needs " + pieces + " pieces, " + memory.getFree() + " are free";
            return Either.left(new ErrorResponse(CONFLICT, "memory_full", message));
        }
        List<Long> hashes = PromptPrefix.computeHashes(request.prompt(), options.getPieceTokens());
        long sequence = ++lastSequence;
        Prefill prefill = new Prefill(idPrefix + sequence, request, sequence, tokens, pieces, hashes, finishListener);
        prefillsById.put(prefill.id, prefill);
        prefillsByAttempt.put(prefill.attempt, prefill);
        queue.add(prefill);
        startNext(nowMicros);
        return Either.right(prefill);
    }

    void advance(long nowMicros) {
        while (running != null && running.endMicros <= nowMicros) {
            finish(running);
        }
        List<Prefill> expired = prefillsById.values().stream()
                .filter(prefill -> prefill.state == Prefill.State.FINISHED && prefill.expiryMicros <= nowMicros)
                .toList();
        for (Prefill prefill : expired) {
            counters.prefillsLapsed++;
            removeWasted(prefill, prefill.getComputedTokens());
        }
    }

    long getNextEventMicros() {
        long next = running == null ? Micros.NEVER : running.endMicros;
        for (Prefill prefill : prefillsById.values()) {
            if (prefill.state == Prefill.State.FINISHED) {
                next = Math.min(next, prefill.expiryMicros);
            }
        }
        return next;
    }

    /** Cancels a prefill whose result will not be fetched. Returns false when the attempt is unknown. */
    boolean cancel(String attempt, long nowMicros) {
        Prefill prefill = prefillsByAttempt.get(attempt);
        if (prefill == null) {
            return false;
        }
        counters.prefillsCancelled++;
        queue.remove(prefill);
        if (prefill == running) {
            cancelRunning(nowMicros);
        } else {
            removeWasted(prefill, prefill.state == Prefill.State.QUEUED ? 0 : prefill.getComputedTokens());
        }
        return true;
    }

    /**
     * Cancels a prefill that is not finished, because the requester has disconnected and would not receive the result.
     */
    void cancelUnfinished(Prefill prefill, long nowMicros) {
        boolean unfinished = prefill.state == Prefill.State.QUEUED || prefill.state == Prefill.State.RUNNING;
        if (unfinished && prefillsById.containsKey(prefill.id)) {
            cancel(prefill.attempt, nowMicros);
        }
    }

    /** Finds a finished prefill whose result can be transferred. */
    Optional<Prefill> findFinished(String id) {
        return Optional.ofNullable(prefillsById.get(id)).filter(prefill -> prefill.state == Prefill.State.FINISHED);
    }

    boolean contains(Prefill prefill) {
        return prefillsById.containsKey(prefill.id);
    }

    /** Removes a prefill after the transfer of its result and frees its memory. */
    void completeTransfer(Prefill prefill) {
        counters.prefillsTransferred++;
        remove(prefill);
    }

    int getQueuedTokens() {
        return queue.stream().mapToInt(prefill -> prefill.promptTokens).sum();
    }

    int getQueuedCount() {
        return queue.size();
    }

    boolean isRunning() {
        return running != null;
    }

    Iterable<Prefill> getAll() {
        return prefillsById.values();
    }

    private void startNext(long nowMicros) {
        if (running != null || queue.isEmpty()) {
            return;
        }
        running = queue.poll();
        running.state = Prefill.State.RUNNING;
        running.startMicros = nowMicros;
        running.cachedTokens =
                Math.min(running.promptTokens, cache.countCached(running.hashes) * options.getPieceTokens());
        running.endMicros = nowMicros
                + options.getPrefillFixedMicros()
                + Micros.durationOf(running.getComputedTokens(), options.getPrefillTokensPerSecond());
        counters.prefillsStarted++;
        startListener.accept(running.prompt);
    }

    private void finish(Prefill prefill) {
        running = null;
        prefill.state = Prefill.State.FINISHED;
        prefill.expiryMicros = prefill.endMicros + Micros.ofMillis(options.getPrefillRetainMillis());
        counters.prefillsFinished++;
        counters.prefillTokensComputed += prefill.getComputedTokens();
        counters.prefillTokensCached += prefill.cachedTokens;
        cache.store(prefill.hashes, prefill.endMicros);
        prefill.finishListener.accept(prefill);
        startNext(prefill.endMicros);
    }

    private void cancelRunning(long nowMicros) {
        Prefill prefill = running;
        running = null;
        double computedShare = (double) (nowMicros - prefill.startMicros) / (prefill.endMicros - prefill.startMicros);
        int computedTokens = (int) Math.round(prefill.getComputedTokens() * Math.min(1, computedShare));
        counters.prefillTokensComputed += computedTokens;
        removeWasted(prefill, computedTokens);
        startNext(nowMicros);
    }

    private void removeWasted(Prefill prefill, int tokens) {
        counters.prefillTokensWasted += tokens;
        remove(prefill);
    }

    private void remove(Prefill prefill) {
        prefillsById.remove(prefill.id);
        prefillsByAttempt.remove(prefill.attempt);
        memory.release(prefill.pieces);
    }
}
