package org.magnoliavane.pool;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the attempts and the reserved memory of one decode worker.
 *
 * <p>Not thread-safe.
 */
final class DecodeState {
    final Map<String, StartedAttempt> attempts = new LinkedHashMap<>();
    PoolWorker worker;
    int totalPieces;
    int reservedPieces;
    /** The number of pieces that answers longer than estimated wait for. */
    int claimedPieces;
    /** The number of pieces that the engine holds for attempts unknown to this scheduler. */
    int untrackedPieces;

    long linkFreeMicros;
    long avoidUntilMicros;
    /** The id of the isolated attempt to which this worker is dedicated; null when there is none. */
    String isolatedAttempt;

    DecodeState(PoolWorker worker, int totalPieces) {
        this.worker = worker;
        this.totalPieces = totalPieces;
    }

    /** Returns whether the worker accepts new attempts. */
    boolean isAvailable(long now) {
        return !worker.leaving() && isolatedAttempt == null && avoidUntilMicros <= now;
    }

    int getFreePieces() {
        return totalPieces - reservedPieces - untrackedPieces - claimedPieces;
    }

    int countStreams() {
        return attempts.size();
    }

    void add(StartedAttempt attempt) {
        attempts.put(attempt.attempt(), attempt);
        reservedPieces += attempt.pieces;
    }

    void remove(StartedAttempt attempt) {
        if (attempts.remove(attempt.attempt(), attempt)) {
            reservedPieces -= attempt.pieces;
            claimedPieces -= attempt.claimedPieces;
            grantClaims();
        }
    }

    /** Records that an attempt waits for more pieces; claimed pieces are not free for new attempts. */
    void claim(StartedAttempt attempt, int pieces) {
        attempt.claimedPieces += pieces;
        claimedPieces += pieces;
    }

    /** Grants free pieces to the attempts that claim them, the oldest attempt first. */
    void grantClaims() {
        int availablePieces = totalPieces - reservedPieces - untrackedPieces;
        for (StartedAttempt each : attempts.values()) {
            int granted = Math.max(0, Math.min(availablePieces, each.claimedPieces));
            each.claimedPieces -= granted;
            claimedPieces -= granted;
            each.pieces += granted;
            reservedPieces += granted;
            availablePieces -= granted;
        }
    }
}
