package org.magnoliavane.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.magnoliavane.config.ModelSettings;

/**
 * Models a decode engine with continuous batching: each step generates one token for each running stream. Memory is
 * taken in whole pieces; a stream that needs a piece when none is free waits. Not thread-safe.
 */
final class DecodeEngine {
    /** Takes the tokens that the engine generates. */
    interface TokenListener {
        void token(Attempt attempt);
    }

    final String id;
    final String zone;
    boolean alive = true;
    boolean linkBusy;
    long stalledUntilMicros;

    private final EventLoop loop;
    private final ModelSettings settings;
    private final TokenListener listener;
    private final Map<String, Attempt> held = new LinkedHashMap<>();
    private final List<Attempt> streams = new ArrayList<>();
    private int usedPieces;
    private boolean stepping;
    private long stepMicros;
    private double pieceMicros;

    DecodeEngine(String id, String zone, EventLoop loop, ModelSettings settings, TokenListener listener) {
        this.id = id;
        this.zone = zone;
        this.loop = loop;
        this.settings = settings;
        this.listener = listener;
    }

    /** Takes memory for an attempt; returns false when it is full. */
    boolean reserve(Attempt attempt) {
        int pieces = Math.max(attempt.reservedPieces, EngineTimes.pieces(settings, attempt.job.promptTokens() + 1));
        if (usedPieces + pieces > settings.decodePieces()) {
            return false;
        }
        attempt.heldPieces = pieces;
        usedPieces += pieces;
        held.put(attempt.id, attempt);
        return true;
    }

    void join(Attempt attempt) {
        attempt.state = Attempt.State.DECODING;
        attempt.lastTokenMicros = loop.now();
        streams.add(attempt);
        if (!stepping) {
            step();
        }
    }

    void release(Attempt attempt) {
        if (held.remove(attempt.id, attempt)) {
            usedPieces -= attempt.heldPieces;
        }
        streams.remove(attempt);
    }

    List<Attempt> crash() {
        alive = false;
        List<Attempt> lost = List.copyOf(held.values());
        held.clear();
        streams.clear();
        usedPieces = 0;
        return lost;
    }

    int freePieces() {
        return settings.decodePieces() - usedPieces;
    }

    int running() {
        return streams.size();
    }

    /** Gets the time in which the engine made steps. */
    long workedMicros() {
        return stepMicros;
    }

    /** Gets the sum over all steps of the duration times the pieces in use. */
    double pieceMicros() {
        return pieceMicros;
    }

    List<String> attempts() {
        return List.copyOf(held.keySet());
    }

    private void step() {
        List<Attempt> batch = new ArrayList<>(streams.size());
        for (Attempt each : streams) {
            if (hasMemory(each)) {
                batch.add(each);
            }
        }
        stepping = !streams.isEmpty();
        if (stepping) {
            long duration = EngineTimes.step(batch.size());
            stepMicros += duration;
            pieceMicros += (double) duration * usedPieces;
            loop.after(duration, () -> finishStep(batch));
        }
    }

    private boolean hasMemory(Attempt attempt) {
        int needed = EngineTimes.pieces(settings, attempt.job.promptTokens() + attempt.position + 1);
        if (needed <= attempt.heldPieces) {
            return true;
        }
        if (usedPieces >= settings.decodePieces()) {
            return false;
        }
        attempt.heldPieces++;
        usedPieces++;
        return true;
    }

    private void finishStep(List<Attempt> batch) {
        for (Attempt each : batch) {
            if (held.get(each.id) == each) {
                each.position++;
                listener.token(each);
            }
        }
        step();
    }
}
