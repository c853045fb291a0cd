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
        void onToken(Attempt attempt);
    }

    final String id;
    final String zone;
    boolean alive = true;
    boolean linkBusy;
    long stalledUntilMicros;

    private final EventLoop loop;
    private final ModelSettings settings;
    private final TokenListener listener;
    private final Map<String, Attempt> heldAttempts = new LinkedHashMap<>();
    private final List<Attempt> streams = new ArrayList<>();
    private int usedPieces;
    private boolean stepping;
    private long busyMicros;
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
        int pieces =
                Math.max(attempt.reservedPieces, EngineTimes.countPieces(settings, attempt.job.promptTokens() + 1));
        if (usedPieces + pieces > settings.decodePieces()) {
            return false;
        }
        attempt.heldPieces = pieces;
        usedPieces += pieces;
        heldAttempts.put(attempt.id, attempt);
        return true;
    }

    void startStream(Attempt attempt) {
        attempt.state = Attempt.State.DECODING;
        attempt.lastTokenMicros = loop.getNowMicros();
        streams.add(attempt);
        if (!stepping) {
            startStep();
        }
    }

    void release(Attempt attempt) {
        if (heldAttempts.remove(attempt.id, attempt)) {
            usedPieces -= attempt.heldPieces;
        }
        streams.remove(attempt);
    }

    List<Attempt> crash() {
        alive = false;
        List<Attempt> lost = List.copyOf(heldAttempts.values());
        heldAttempts.clear();
        streams.clear();
        usedPieces = 0;
        return lost;
    }

    int getFreePieces() {
        return settings.decodePieces() - usedPieces;
    }

    int getStreamCount() {
        return streams.size();
    }

    /** Gets the time in which the engine made steps. */
    long getBusyMicros() {
        return busyMicros;
    }

    /** Gets the sum over all steps of the duration times the pieces in use. */
    double getPieceMicros() {
        return pieceMicros;
    }

    List<String> getAttemptIds() {
        return List.copyOf(heldAttempts.keySet());
    }

    private void startStep() {
        List<Attempt> batch = new ArrayList<>(streams.size());
        for (Attempt each : streams) {
            if (ensureMemory(each)) {
                batch.add(each);
            }
        }
        stepping = !streams.isEmpty();
        if (stepping) {
            long duration = EngineTimes.getStepMicros(batch.size());
            busyMicros += duration;
            pieceMicros += (double) duration * usedPieces;
            loop.scheduleAfter(duration, () -> finishStep(batch));
        }
    }

    private boolean ensureMemory(Attempt attempt) {
        int needed = EngineTimes.countPieces(settings, attempt.job.promptTokens() + attempt.generatedTokens + 1);
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
            if (heldAttempts.get(each.id) == each) {
                each.generatedTokens++;
                listener.onToken(each);
            }
        }
        startStep();
    }
}
