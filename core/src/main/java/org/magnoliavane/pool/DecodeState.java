package org.magnoliavane.pool;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the memory of one decode worker. Not thread-safe.
 */
final class DecodeState {
    final Map<String, StartedAttempt> held = new LinkedHashMap<>();
    PoolWorker worker;
    int totalPieces;
    int reservedPieces;
    /** The pieces that growing answers wait for. */
    int claimedPieces;
    /** The pieces that the engine holds for attempts that this scheduler does not know. */
    int foreignPieces;

    long linkFreeMicros;
    long avoidUntilMicros;
    /** The attempt that has this worker to itself; null when none has. */
    String isolated;

    DecodeState(PoolWorker worker, int totalPieces) {
        this.worker = worker;
        this.totalPieces = totalPieces;
    }

    boolean isOpen(long now) {
        return !worker.leaving() && isolated == null && avoidUntilMicros <= now;
    }

    int freePieces() {
        return totalPieces - reservedPieces - foreignPieces - claimedPieces;
    }

    int streams() {
        return held.size();
    }

    void add(StartedAttempt attempt) {
        held.put(attempt.attempt(), attempt);
        reservedPieces += attempt.pieces;
    }

    void remove(StartedAttempt attempt) {
        if (held.remove(attempt.attempt(), attempt)) {
            reservedPieces -= attempt.pieces;
            claimedPieces -= attempt.claimedPieces;
            settleClaims();
        }
    }

    void claim(StartedAttempt attempt, int pieces) {
        attempt.claimedPieces += pieces;
        claimedPieces += pieces;
    }

    /** Gives free pieces to the answers that claim them, the oldest answer first. */
    void settleClaims() {
        int unreserved = totalPieces - reservedPieces - foreignPieces;
        for (StartedAttempt each : held.values()) {
            int granted = Math.max(0, Math.min(unreserved, each.claimedPieces));
            each.claimedPieces -= granted;
            claimedPieces -= granted;
            each.pieces += granted;
            reservedPieces += granted;
            unreserved -= granted;
        }
    }
}
