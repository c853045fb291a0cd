package org.magnoliavane.emulator.engine;

import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;

import org.magnoliavane.emulator.engine.EngineRequests.KvCache;
import org.magnoliavane.emulator.engine.EngineRequests.PrefillRequest;

/**
 * Holds the state of a prefill from its arrival until its result is transferred, expired or cancelled.
 *
 * <p>Not thread-safe.
 */
final class Prefill {
    /** Order in which queued prefills start: higher priority first, then by arrival. */
    static final Comparator<Prefill> QUEUE_ORDER = Comparator.<Prefill>comparingInt(prefill -> -prefill.priority)
            .thenComparingLong(prefill -> prefill.sequence);

    /** States of a prefill. */
    enum State {
        QUEUED("prefill_queued"),
        RUNNING("prefilling"),
        FINISHED("prefilled"),
        SENDING("sending");

        private final String wireName;

        State(String wireName) {
            this.wireName = wireName;
        }

        String toWire() {
            return wireName;
        }
    }

    final String id;
    final String attempt;
    final String model;
    final String prompt;
    final int priority;
    final long sequence;
    final int promptTokens;
    final int pieces;
    final List<Long> hashes;
    final Consumer<Prefill> finishListener;
    State state = State.QUEUED;
    int cachedTokens;
    long startMicros;
    long endMicros;
    long expiryMicros = Micros.NEVER;

    Prefill(
            String id,
            PrefillRequest request,
            long sequence,
            int promptTokens,
            int pieces,
            List<Long> hashes,
            Consumer<Prefill> finishListener) {
        this.id = id;
        this.attempt = request.attempt();
        this.model = request.model();
        this.prompt = request.prompt();
        this.priority = request.priority();
        this.sequence = sequence;
        this.promptTokens = promptTokens;
        this.pieces = pieces;
        this.hashes = hashes;
        this.finishListener = finishListener;
    }

    /** Returns whether a connection waits for the result or for its transfer. */
    boolean isAwaited() {
        return state != State.FINISHED;
    }

    int getComputedTokens() {
        return promptTokens - cachedTokens;
    }

    KvCache toKvCache() {
        return new KvCache(attempt, model, prompt, promptTokens, cachedTokens);
    }
}
