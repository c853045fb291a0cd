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
import org.magnoliavane.emulator.http.Refusal;
import org.magnoliavane.pool.PromptPrefix;
import org.magnoliavane.pool.TokenCount;

/**
 * Computes prefills one after the other. A prefill takes the fixed cost plus its uncached tokens at the rate of the
 * engine. It takes memory on arrival and holds it until its result is transferred, lapses or is cancelled.
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
    private final Consumer<String> starts;
    private final PriorityQueue<Prefill> queue = new PriorityQueue<>(Prefill.QUEUE_ORDER);
    private final Map<String, Prefill> byId = new LinkedHashMap<>();
    private final Map<String, Prefill> byAttempt = new HashMap<>();
    private Prefill running;
    private long sequence;

    PrefillUnit(
            EngineOptions options,
            String idPrefix,
            PieceMemory memory,
            PrefixCache cache,
            Counters counters,
            Consumer<String> starts) {
        this.options = options;
        this.idPrefix = idPrefix;
        this.memory = memory;
        this.cache = cache;
        this.counters = counters;
        this.starts = starts;
    }

    Either<Refusal, Prefill> offer(PrefillRequest request, Consumer<Prefill> whenFinished, long nowMicros) {
        if (byAttempt.containsKey(request.attempt())) {
            return Either.left(new Refusal(CONFLICT, "duplicate_attempt", "use a new attempt id for each attempt"));
        }
        int tokens = TokenCount.of(request.prompt());
        int pieces = memory.piecesOf(tokens);
        if (!memory.tryTake(pieces)) {
            counters.memoryRefusals++;
            String message = "the prompt needs " + pieces + " pieces, " + memory.getFree() + " are free";
            return Either.left(new Refusal(CONFLICT, "memory_full", message));
        }
        List<Long> hashes = PromptPrefix.computeHashes(request.prompt(), options.getPieceTokens());
        long number = ++sequence;
        Prefill prefill = new Prefill(idPrefix + number, request, number, tokens, pieces, hashes, whenFinished);
        byId.put(prefill.id, prefill);
        byAttempt.put(prefill.attempt, prefill);
        queue.add(prefill);
        startNext(nowMicros);
        return Either.right(prefill);
    }

    void advance(long nowMicros) {
        while (running != null && running.endMicros <= nowMicros) {
            finish(running);
        }
        List<Prefill> lapsed = byId.values().stream()
                .filter(prefill -> prefill.state == Prefill.State.FINISHED && prefill.expiresMicros <= nowMicros)
                .toList();
        for (Prefill prefill : lapsed) {
            counters.prefillsLapsed++;
            waste(prefill, prefill.getComputedTokens());
        }
    }

    long getNextMicros() {
        long next = running == null ? Micros.NEVER : running.endMicros;
        for (Prefill prefill : byId.values()) {
            if (prefill.state == Prefill.State.FINISHED) {
                next = Math.min(next, prefill.expiresMicros);
            }
        }
        return next;
    }

    /** Cancels a prefill whose result nobody will fetch. */
    boolean cancel(String attempt, long nowMicros) {
        Prefill prefill = byAttempt.get(attempt);
        if (prefill == null) {
            return false;
        }
        counters.prefillsCancelled++;
        queue.remove(prefill);
        if (prefill == running) {
            cancelRunning(nowMicros);
        } else {
            waste(prefill, prefill.state == Prefill.State.QUEUED ? 0 : prefill.getComputedTokens());
        }
        return true;
    }

    /** Cancels a prefill that is not finished; its result would not reach the requester. */
    void cancelUnfinished(Prefill prefill, long nowMicros) {
        boolean unfinished = prefill.state == Prefill.State.QUEUED || prefill.state == Prefill.State.RUNNING;
        if (unfinished && byId.containsKey(prefill.id)) {
            cancel(prefill.attempt, nowMicros);
        }
    }

    /** Finds a result that can be transferred. */
    Optional<Prefill> findFinished(String id) {
        return Optional.ofNullable(byId.get(id)).filter(prefill -> prefill.state == Prefill.State.FINISHED);
    }

    boolean isKnown(Prefill prefill) {
        return byId.containsKey(prefill.id);
    }

    /** Drops a result after its transfer. */
    void completeTransfer(Prefill prefill) {
        counters.prefillsTransferred++;
        remove(prefill);
    }

    int getQueuedTokens() {
        return queue.stream().mapToInt(prefill -> prefill.promptTokens).sum();
    }

    int getQueued() {
        return queue.size();
    }

    boolean isRunning() {
        return running != null;
    }

    Iterable<Prefill> getAll() {
        return byId.values();
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
                + Micros.ofWork(running.getComputedTokens(), options.getPrefillTokensPerSecond());
        counters.prefillsStarted++;
        starts.accept(running.prompt);
    }

    private void finish(Prefill prefill) {
        running = null;
        prefill.state = Prefill.State.FINISHED;
        prefill.expiresMicros = prefill.endMicros + Micros.ofMillis(options.getPrefillLapseMillis());
        counters.prefillsFinished++;
        counters.prefillTokensComputed += prefill.getComputedTokens();
        counters.prefillTokensCached += prefill.cachedTokens;
        cache.store(prefill.hashes, prefill.endMicros);
        prefill.whenFinished.accept(prefill);
        startNext(prefill.endMicros);
    }

    private void cancelRunning(long nowMicros) {
        Prefill prefill = running;
        running = null;
        double share = (double) (nowMicros - prefill.startMicros) / (prefill.endMicros - prefill.startMicros);
        int computed = (int) Math.round(prefill.getComputedTokens() * Math.min(1, share));
        counters.prefillTokensComputed += computed;
        waste(prefill, computed);
        startNext(nowMicros);
    }

    private void waste(Prefill prefill, int tokens) {
        counters.prefillTokensWasted += tokens;
        remove(prefill);
    }

    private void remove(Prefill prefill) {
        byId.remove(prefill.id);
        byAttempt.remove(prefill.attempt);
        memory.release(prefill.pieces);
    }
}
