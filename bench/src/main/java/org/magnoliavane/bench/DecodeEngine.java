package org.magnoliavane.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.magnoliavane.config.ModelSettings;

/**
 * Models a decode engine with continuous batching: each step generates one token for each running stream. Memory is
 * allocated in whole pieces. A stream that needs another piece while none is free skips steps until one is released.
 * Not thread-safe.
 */
final class DecodeEngine {
    /** Receives the tokens that the engine generates. */
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

    /** Reserves memory for an attempt. Returns false when there is not enough free memory. */
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

    /** Adds an attempt whose transfer is complete to the running streams. */
    void startStream(Attempt attempt) {
        attempt.state = Attempt.State.DECODING;
        attempt.lastTokenMicros = loop.getNowMicros();
        streams.add(attempt);
        if (!stepping) {
            startStep();
        }
    }

    /** Releases the memory of an attempt and stops its stream. */
    void release(Attempt attempt) {
        if (heldAttempts.remove(attempt.id, attempt)) {
            usedPieces -= attempt.heldPieces;
        }
        streams.remove(attempt);
    }

    /** Crashes the engine and returns the attempts that are lost. */
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

    /** Gets the total duration of the steps of this engine, in microseconds. */
    long getBusyMicros() {
        return busyMicros;
    }

    /** Gets the sum over all steps of the duration in microseconds times the pieces in use. */
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

    /** Allocates another piece if the next token needs one. Returns false when no piece is free. */
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
